#ifndef KUMQUATDRIFT_NODE_FWD_HPP
#define KUMQUATDRIFT_NODE_FWD_HPP

namespace kumquatdrift {

class node_service;

} // namespace kumquatdrift

#endif
