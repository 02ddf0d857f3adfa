/* event.h -- everything the decisions can learn (tagged union).

   Time and randomness come in the event, so a run is a trace of events.  Each
   event is one talloc tree without a parent: the thread that pops it from a
   ring owns it.  */

#ifndef FTK_PORT_EVENT_H
#define FTK_PORT_EVENT_H

#include "port/blob.h"
#include "port/peer_message.h"
#include "port/record.h"

enum event_kind
{
  EVENT_TICK,         /**< Time passed.  */
  EVENT_REQUEST,      /**< A caller sent a request.  */
  EVENT_CANCEL,       /**< A caller went away.  */
  EVENT_ATTEMPT_DONE, /**< An attempt on a worker ended.  */
  EVENT_LOG_READ,     /**< A read of the log ended.  */
  EVENT_RECORD,       /**< A record was read from the log.  */
  EVENT_PEER,         /**< A peer's message.  */
  EVENT_STATUS,       /**< Someone asks for the state of this entry.  */
  EVENT_STOP,         /**< Planned stop of this entry.  */
  EVENT_PEER_FAULT,   /**< A peer link was refused.  */
  EVENT_FLEET_LIST,   /**< A read of the fleet list ended.  */
  EVENT_OPERATION     /**< What is known of a platform operation.  */
};

/** How an attempt ended, as far as this entry can know.  */
enum attempt_outcome
{
  ATTEMPT_ANSWERED,  /**< The worker's whole answer is here.  */
  ATTEMPT_NOT_SENT,  /**< No byte can have reached the worker.  */
  ATTEMPT_NO_ANSWER, /**< Sent; no whole answer came.  */
  ATTEMPT_REJECTED   /**< The worker said that it did not run it.  */
};

struct event_request
{
  uint64_t request_id; /**< Unique in this process.  */
  char queue[NAME_BYTES];
  char idempotency_key[ID_BYTES]; /**< Empty if none.  */
  uint8_t key_digest[DIGEST_BYTES];
  bool has_key;
  uint32_t timeout_ms; /**< The caller's wish; 0 for the route's.  */
  struct blob *body;   /**< One reference, passed to the core.  */
};

struct event_cancel
{
  uint64_t request_id;
};

struct event_attempt
{
  uint64_t attempt_id;
  enum attempt_outcome outcome;
  uint32_t http_status; /**< 0 unless answered.  */
  uint32_t elapsed_us;  /**< From start to end.  */
  struct blob *body;    /**< One reference, or NULL.  */
};

struct event_log_read
{
  bool readable;            /**< The read succeeded.  */
  uint64_t next_offset;     /**< First offset past the log's end.  */
  uint64_t first_offset;    /**< Oldest offset that the log keeps.  */
  uint64_t requested_at_us; /**< When the read was asked for; 0: now.  */
};

struct event_record
{
  uint64_t offset;
  uint64_t appended_at_ms; /**< The log's own time of append.  */
  struct record *record;   /**< Child of the event; NULL if malformed.  */
  struct blob *raw;        /**< Its bytes, one reference; or NULL.  */
};

struct event_status
{
  uint64_t request_id;
};

struct event_peer_fault
{
  char address[ADDRESS_BYTES]; /**< The other end, without its port.  */
};

/** State of a VM in the fleet list.  */
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
  bool complete;         /**< Every VM is listed; else only changed ones.  */
  uint64_t listed_at_ms; /**< The fleet service's own time of the list.  */
  struct fleet_vm *vms;  /**< Child of the event.  */
  uint32_t vm_count;
};

/** What the platform says of an operation.  */
enum operation_state
{
  OPERATION_UNKNOWN, /**< No answer; read it back before asking again.  */
  OPERATION_RUNNING,
  OPERATION_DONE,
  OPERATION_REFUSED /**< It was not and will not be done.  */
};

struct event_operation
{
  char operation_id[ID_BYTES];
  char vm[NAME_BYTES];
  enum operation_state state;
};

struct event
{
  uint64_t now_us; /**< CLOCK_BOOTTIME: runs on through a pause.  */
  uint64_t random; /**< Fresh for each event.  */
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

/** Frees E and drops the blobs that it holds.  */
void event_free (struct event *e);

#endif
