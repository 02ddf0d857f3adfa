/* event.h -- input of the decision core (tagged union).

   Time and random numbers come with the event, so that a recorded trace of
   events replays exactly.  An event has no talloc parent and belongs to the
   thread that pops it from a ring; what it refers to are its talloc children,
   except blobs, which are counted references.  */

#ifndef FTK_PORT_EVENT_H
#define FTK_PORT_EVENT_H

#include "port/blob.h"
#include "port/peer_message.h"
#include "port/record.h"

enum event_kind
{
  EVENT_TICK,         /**< Sent at a fixed interval.  */
  EVENT_REQUEST,      /**< A caller sent a request.  */
  EVENT_CANCEL,       /**< A caller closed its connection.  */
  EVENT_ATTEMPT_DONE, /**< An attempt on a worker ended.  */
  EVENT_LOG_READ,     /**< A read of the log ended.  */
  EVENT_RECORD,       /**< A record was read from the log.  */
  EVENT_PEER,         /**< A message came from a peer.  */
  EVENT_STATUS,       /**< The state of this entry was asked for.  */
  EVENT_STOP,         /**< A planned stop of this entry was requested.  */
  EVENT_PEER_FAULT,   /**< A peer connection failed the handshake or sent
                           malformed frames.  */
  EVENT_FLEET_LIST,   /**< A page of the fleet list was read.  */
  EVENT_OPERATION     /**< State of a platform operation on a VM.  */
};

/** How an attempt ended, as far as this entry can know.  */
enum attempt_outcome
{
  ATTEMPT_ANSWERED,  /**< The complete answer was received.  */
  ATTEMPT_NOT_SENT,  /**< No byte can have reached the worker.  */
  ATTEMPT_NO_ANSWER, /**< Sent; no complete answer was received.  */
  ATTEMPT_REJECTED   /**< The worker said that it did not run it.  */
};

struct event_request
{
  uint64_t request_id; /**< Unique in this process.  */
  char queue[NAME_BYTES];
  char idempotency_key[ID_BYTES]; /**< Empty if none.  */
  uint8_t key_digest[DIGEST_BYTES];
  bool has_key;
  uint32_t timeout_ms; /**< The caller's; 0: the route's applies.  */
  struct blob *body;   /**< One reference, taken over by the core.  */
};

struct event_cancel
{
  uint64_t request_id;
};

struct event_attempt
{
  uint64_t attempt_id;
  enum attempt_outcome outcome;
  uint32_t http_status; /**< 0 unless ATTEMPT_ANSWERED.  */
  uint32_t elapsed_us;  /**< From start to end.  */
  struct blob *body;    /**< One reference, or NULL.  */
};

struct event_log_read
{
  bool readable;            /**< The read succeeded.  */
  uint64_t next_offset;     /**< One past the newest offset.  */
  uint64_t first_offset;    /**< Oldest offset that is retained.  */
  uint64_t requested_at_us; /**< When the read was requested; 0: now_us.  */
};

struct event_record
{
  uint64_t offset;
  uint64_t appended_at_ms; /**< When it was appended, by the log's clock.  */
  struct record *record;   /**< Child of the event; NULL if malformed.  */
  struct blob *raw;        /**< The record as JSON text, to be relayed; one
                                reference, or NULL.  */
};

struct event_status
{
  uint64_t request_id;
};

struct event_peer_fault
{
  char address[ADDRESS_BYTES]; /**< IP address; with the port if this entry
                                  connected.  */
};

/** State of a VM in the platform's fleet list.  */
enum fleet_vm_state
{
  FLEET_VM_LIVE,
  FLEET_VM_DRAINING,
  FLEET_VM_REBOOTING,
  FLEET_VM_GONE
};

struct fleet_vm
{
  char name[NAME_BYTES];
  enum fleet_vm_state state;
};

struct event_fleet_list
{
  bool complete;         /**< All VMs are listed, not only changed ones. */
  uint64_t listed_at_ms; /**< By the clock of the fleet service.  */
  struct fleet_vm *vms;  /**< Child of the event.  */
  uint32_t vm_count;
};

/** State of a platform operation.  */
enum operation_state
{
  OPERATION_UNKNOWN, /**< No usable answer; a retry looks it up first.  */
  OPERATION_RUNNING,
  OPERATION_DONE,
  OPERATION_REFUSED /**< Was not done and will not be.  */
};

struct event_operation
{
  char operation_id[ID_BYTES];
  char vm[NAME_BYTES];
  enum operation_state state;
};

struct event
{
  uint64_t now_us; /**< CLOCK_BOOTTIME, which runs while suspended.  */
  uint64_t random; /**< Random bits, new for each event.  */
  enum event_kind kind;
  union
  {
    struct event_request request;
    struct event_cancel cancel;
    struct event_attempt attempt;
    struct event_log_read log_read;
    struct event_record record;
    struct peer_message peer;
    struct event_status status;
    struct event_peer_fault peer_fault;
    struct event_fleet_list fleet_list;
    struct event_operation operation;
  } u;
};

/** Frees E and drops its blob references.  */
void event_free (struct event *e);

#endif
