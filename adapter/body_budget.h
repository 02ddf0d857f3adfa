/* body_budget.h -- decides which clients' connections and request bodies are
   admitted and which are closed; without I/O and without a clock.

   Load: many clients send large bodies, stop before the end and stay
   connected.  */

#ifndef FTK_ADAPTER_BODY_BUDGET_H
#define FTK_ADAPTER_BODY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/** Bytes of each body that are admitted whatever the others hold.  Ordinary
    bodies are about 600 bytes and have up to 4,000 bytes of text.  */
#define BODY_FREE_BYTES 6144u

struct body_limits
{
  uint64_t total_bytes; /**< Of all bodies, beyond BODY_FREE_BYTES of each.  */
  uint32_t body_bytes;  /**< Largest body.  */
  uint32_t receive_ms;  /**< Longest time from the headers to the end.  */
  uint32_t connection_limit_count;
  uint32_t address_percent; /**< Most connections from one address.  */
};

enum client_phase
{
  CLIENT_IDLE,      /**< Between requests, or sends headers.  */
  CLIENT_RECEIVING, /**< Sends a body.  */
  CLIENT_WAITING,   /**< Has sent its request.  */
  CLIENT_ANSWERED,  /**< Its answer is being sent.  */
  CLIENT_PHASE_COUNT
};

/** A connection.  The caller owns it and changes no field.  */
struct budget_client
{
  GList link;           /**< In the clients of the budget.  */
  GList receiving_link; /**< While phase is CLIENT_RECEIVING.  */
  enum client_phase phase;
  bool closing;     /**< Was returned to be closed.  */
  uint32_t address; /**< IPv4, in any byte order.  */
  uint32_t held_bytes;
  uint64_t began_at_us;
  uint64_t active_at_us; /**< Last progress.  */
};

struct body_counts
{
  uint64_t refused;         /**< Bodies for which there was no space.  */
  uint64_t too_large;       /**< Bodies over the largest size.  */
  uint64_t timed_out;       /**< Bodies that took longer than receive_ms.  */
  uint64_t stalled;         /**< Stalled bodies closed for the space.  */
  uint64_t evicted;         /**< Connections closed for a new one.  */
  uint64_t address_refused; /**< Connections over the share of an address.  */
  uint64_t drained;         /**< Connections closed by a planned stop.  */
  uint64_t held_bytes;      /**< Of bodies now, BODY_FREE_BYTES included.  */
};

struct body_budget;

/** Returns true if C has taken a part of its answer since it was last
    asked.  */
typedef bool budget_reads_fn (struct budget_client *c);

/** Returns a budget as a child of MEM, or NULL when memory is out.  READS is
    asked about answers that are sent for long; NULL: none is taken.  */
struct body_budget *body_budget_new (TALLOC_CTX *mem,
                                     const struct body_limits *l,
                                     budget_reads_fn *reads);

/** Adds C.  Returns the client to close for it, which may be C, or NULL.  */
struct budget_client *body_budget_connect (struct body_budget *b,
                                           struct budget_client *c,
                                           uint32_t address, uint64_t now_us);
/** Removes C, which was added.  */
void body_budget_disconnect (struct body_budget *b, struct budget_client *c);

/** C has sent its headers.  Returns false if the body of ANNOUNCED_BYTES (0:
    unknown) is too large.  */
bool body_budget_begin (struct body_budget *b, struct budget_client *c,
                        uint64_t announced_bytes, uint64_t now_us);
/** Returns the bytes to allocate for a body that has NEEDED_BYTES so far, or 0
    if it is too large.  */
uint32_t body_budget_size (struct body_budget *b, uint64_t needed_bytes,
                           uint64_t announced_bytes);
/** Reserves SIZE_BYTES for the whole body of C.  Returns false if there is no
    space; C then holds nothing.  *VICTIM becomes a client to close first,
   whose body no longer counts, or NULL; call again then.  */
bool body_budget_reserve (struct body_budget *b, struct budget_client *c,
                          uint32_t size_bytes, uint64_t now_us,
                          struct budget_client **victim);
/** C has sent a part of its body.  */
void body_budget_progress (struct budget_client *c, uint64_t now_us);
/** C has sent its request and waits for the answer.  */
void body_budget_complete (struct body_budget *b, struct budget_client *c);
/** The answer to C is known and being sent.  */
void body_budget_answer (struct body_budget *b, struct budget_client *c,
                         uint64_t now_us);
/** The request of C is over.  */
void body_budget_end (struct body_budget *b, struct budget_client *c,
                      uint64_t now_us);

/** Returns the next client to close because its body takes too long, or
    NULL.  */
struct budget_client *body_budget_expire (struct body_budget *b,
                                          uint64_t now_us);
/** Returns when the next body takes too long, or UINT64_MAX.  */
uint64_t body_budget_deadline_us (const struct body_budget *b);

/** Closes C, which no longer counts.  */
typedef void budget_close_fn (void *state, struct budget_client *c);

/** During a planned stop: calls CLOSE for each client that is idle, that has
    taken longer than ordinary clients do to send its body, or that has not
    taken any of its answer for as long.  Returns when the next one will have,
    or UINT64_MAX.  */
uint64_t body_budget_drain (struct body_budget *b, uint64_t now_us,
                            budget_close_fn *close, void *state);

const struct body_counts *body_budget_counts (const struct body_budget *b);
/** Returns how many clients that are not to be closed are in PHASE.  */
uint32_t body_budget_phase_count (const struct body_budget *b,
                                  enum client_phase phase);
/** Returns the name of PHASE in metrics.  */
const char *client_phase_name (enum client_phase phase);

#endif
