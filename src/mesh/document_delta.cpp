#include <kumquatdrift/mesh/document_delta.hpp>

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

namespace kumquatdrift {
namespace {

/*! @brief Compression level. Higher levels save less than a tenth of the bytes, for several times the time.
 */
constexpr int compression_level = 3;
/*! @brief Binary logarithm of the minimum window size that zstd accepts. */
constexpr int min_window_log = 10;

/*! @brief Returns the binary logarithm of a window that covers a number of bytes. */
int window_log_of(std::size_t bytes)
{
    return std::max(min_window_log, static_cast<int>(std::bit_width(bytes)));
}

std::string error_of(std::size_t code)
{
    return std::string{"zstd: "} + ZSTD_getErrorName(code);
}

} // namespace

result<std::string> compress_document(std::string_view document, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context{ZSTD_createCCtx(), &ZSTD_freeCCtx};
    if (!context) {
        return failure{"zstd: no memory for a compression context"};
    }
    // Without a window that covers both documents, the base is out of reach for the end of the document.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log_of(document.size() + base.size()));
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string compressed(ZSTD_compressBound(document.size()), '\0');
    const auto size =
        ZSTD_compress2(context.get(), compressed.data(), compressed.size(), document.data(), document.size());
    if (ZSTD_isError(size) != 0) {
        return failure{error_of(size)};
    }
    compressed.resize(size);
    return compressed;
}

result<std::string> decompress_document(std::string_view compressed, std::string_view base)
{
    const auto document_size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (document_size == ZSTD_CONTENTSIZE_ERROR || document_size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return failure{"the compressed document has no valid zstd header"};
    }
    if (document_size > max_document_bytes) {
        return failure{"the document has " + std::to_string(document_size) + " bytes; at most " +
                       std::to_string(max_document_bytes) + " are accepted"};
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context{ZSTD_createDCtx(), &ZSTD_freeDCtx};
    if (!context) {
        return failure{"zstd: no memory for a decompression context"};
    }
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax,
                           window_log_of(2 * max_document_bytes + base.size()));
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string document(document_size, '\0');
    const auto size = ZSTD_decompressDCtx(context.get(), document.data(), document.size(), compressed.data(),
                                          compressed.size());
    if (ZSTD_isError(size) != 0) {
        return failure{error_of(size)};
    }
    document.resize(size);
    return document;
}

} // namespace kumquatdrift
