"""Status reports of another writer, whose id can't be read, arrive at two machines, three times each."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import Backend, Node, Store, new_attempt, run_case, wait_until  # noqa: E402

MACHINES = 4
RESTART_DELAY_S = 0.5


async def send_report(node, instance, service):
    """Sends a status report; returns the first line of the answer."""
    body = json.dumps({"service": service, "address": node.app_addr, "zone": node.zone, "version": "v1", "slots": 12,
                       "state": "draining", "cold_left_s": 0, "sequence": 4, "born": int(time.time() * 1000)}).encode()
    ip, port = node.control.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"POST /rpc?call=instances.heartbeat&of=" + instance + b" HTTP/1.1\r\nHost: " + ip.encode() +
                 b"\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    try:
        answer = await asyncio.wait_for(reader.readline(), 1)
    except (asyncio.TimeoutError, ConnectionError):
        answer = b""
    writer.close()
    return answer.decode().strip()


async def case(record, folder, nodes, trouble):
    store = Store()
    await store.start()
    await store.publish(7, ["board"], [
        {"path_prefix": "/position/", "kind": "idempotent", "service": "board", "timeout_s": 1.2,
         "target_latency_s": 0.4}])
    for number in range(1, MACHINES + 1):
        nodes.append(Node(folder, record, number, "abc"[number % 3], "board", store))
    for node in nodes:
        await Backend(record, node, "board", 12, 0.1).start()
        await node.start()
    for node in nodes:
        await wait_until(node.is_ready, 8, node.name + " is ready")
    await asyncio.sleep(2)

    ends = {node.name: 0 for node in nodes}
    tasks = []

    async def restart(node):
        """Starts a process that has ended by itself again, as the platform does."""
        while True:
            status = await node.process.wait()
            ends[node.name] += 1
            record.write("ended_by_itself", node=node.name, status=status)
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()

    async def request(node):
        attempt = new_attempt()
        status, _, _ = await node.send("GET", "/position/x", attempt, 2500)
        record.write("answered", id=attempt, node=node.name, status=status)

    async def traffic():
        while True:
            for node in nodes:
                tasks.append(asyncio.create_task(request(node)))
                await asyncio.sleep(0.05)

    watches = [asyncio.create_task(restart(node)) for node in nodes]
    load = asyncio.create_task(traffic())
    for _ in range(3):
        for node in nodes[:2]:
            instance = b"i-\xff\xfe\x80" if trouble else b"i-0000beef"
            answer = await send_report(node, instance, "board" if trouble else "")
            record.write("report", node=node.name, id=instance, answer=answer.replace(" ", "_"))
        await asyncio.sleep(6)
    load.cancel()
    await asyncio.wait(tasks, timeout=3)
    for watch in watches:
        watch.cancel()
    often = [name for name, count in ends.items() if count >= 3]
    print("processes that ended by themselves: %s" % ends)
    return len(often) >= max(2, MACHINES / 10)


run_case(FOLDER, case)
