/* order_codec.h -- msgpack coding of orders to runners that an owner has
   another entry send, and of their results.

   A batch of orders is [payloads, orders]: consecutive orders with the same
   payload name it by its index.  Results are an array.  */

#ifndef FTK_ADAPTER_ORDER_CODEC_H
#define FTK_ADAPTER_ORDER_CODEC_H

#include "adapter/pack.h"
#include "port/blob.h"
#include "port/cell_action.h"

/** Orders as decoded; a talloc parent of its items.  */
struct order_batch
{
  uint32_t item_count;
  struct runner_order *items; /**< Their payloads are references.  */
};

/** Returns the encoded COUNT orders at ITEMS, which the caller unreferences;
    or NULL when memory is out.  */
struct blob *order_batch_encode (const struct runner_order *items,
                                 uint32_t count);

/** Returns the orders in DATA as a child of MEM, or NULL if it is malformed.
    Freeing the batch drops the references to the payloads.  */
struct order_batch *order_batch_decode (TALLOC_CTX *mem, const uint8_t *data,
                                        uint32_t size_bytes);

/** Adds R, the result of an order under R's token, to P.  */
void order_result_pack (msgpack_packer *p, const struct runner_result *r);

/** Reads the next element of U, a result, into R; what R points to become
    children of MEM.  U fails if the element is malformed.  */
void order_result_unpack (TALLOC_CTX *mem, struct unpack *u,
                          struct runner_result *r);

#endif
