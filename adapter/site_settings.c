/* site_settings.c -- reads and checks the settings of an entry on the users'
   platform.  */

#include "adapter/site_settings.h"

#include "adapter/body_settings.h"
#include "adapter/json_document.h"
#include "adapter/json_field.h"

#include <string.h>

#define SECRET_MIN_BYTES 16
#define DEFAULT_BODY_LIMIT_BYTES (1u << 20)
#define HIGHEST_BODY_LIMIT_BYTES (64u << 20)
/** Most clients' connections: the file descriptors of a small VM minus those
    needed for files, runners and other entries.  */
#define DEFAULT_CONNECTION_LIMIT_COUNT 3000
/** 96 bodies of 262,144 bytes, the limit of ordinary clients.  With the memory
    of all connections (38 KiB each) and the 12 MB of a process without load,
    it stays below the 160 MB of the smallest entry.  */
#define DEFAULT_BODY_MEMORY_BYTES (24u << 20)
#define DEFAULT_LOG_CAPACITY_COUNT 4096
/** Defaults of times that the settings leave out: the values of the first
    sites of the platform.  */
#define DEFAULT_REVOKE_MS 5000
#define DEFAULT_LEASE_MAX_MS 10000
#define DEFAULT_TASK_STOP_MS 400
#define DEFAULT_HANDOVER_GAP_MS 3000
#define DEFAULT_STATUS_RETENTION_S 120
#define DEFAULT_AWAY_NOTICE_MS 4500
#define DEFAULT_OVER_TARGET_LIMIT_MS 4000
#define DEFAULT_STOP_GRACE_MS 6000
#define DEFAULT_EARLY_START_MS 250
#define DEFAULT_MOVE_MS 1500
#define DEFAULT_MAINTENANCE_MS 2000
/** Default rate of orders for VMs, in thousandths a second: that of the first
    sites.  */
#define DEFAULT_VM_ORDER_MILLI 64000
#define VM_ORDER_LIMIT_MILLI 100000000
/** Default CPU share, in thousandths of a core: that of the entries on the
    first sites.  */
#define DEFAULT_CPU_MILLI 250
#define CPU_LIMIT_MILLI 1000000
/** Least limits of the store with which the cell can keep its records: that of
    a record fits a segment of tasks, and an append takes several.  */
#define RECORD_LIMIT_MIN_BYTES 32768
#define APPEND_LIMIT_MIN_BYTES (4 * RECORD_LIMIT_MIN_BYTES)
/** Largest time that the settings may give: an hour.  The same number limits
    "status_s", which is in seconds.  */
#define TIME_LIMIT_MS 3600000

static uint32_t
get_time (struct json_reader *p, const char *key, uint32_t fallback)
{
  return (uint32_t)json_get_number (p, key, 0, TIME_LIMIT_MS, fallback);
}

static void
read_times (struct json_reader *p, struct cell_times *c)
{
  c->revoke_ms = get_time (p, "revoke_ms", DEFAULT_REVOKE_MS);
  c->lease_max_ms = get_time (p, "lease_max_ms", DEFAULT_LEASE_MAX_MS);
  c->task_stop_ms = get_time (p, "task_stop_ms", DEFAULT_TASK_STOP_MS);
  c->handover_gap_ms = get_time (p, "carrier_gap_ms", DEFAULT_HANDOVER_GAP_MS);
  c->status_retention_s = get_time (p, "status_s", DEFAULT_STATUS_RETENTION_S);
  c->unconfirmed_state_s = get_time (p, "unconfirmed_state_s", 0);
  c->away_notice_ms = get_time (p, "away_notice_ms", DEFAULT_AWAY_NOTICE_MS);
  c->over_target_limit_ms
      = get_time (p, "harm_ms", DEFAULT_OVER_TARGET_LIMIT_MS);
  c->stop_grace_ms
      = json_get_milli (p, "stop_limit_s", 1, TIME_LIMIT_MS,
                        get_time (p, "stop_limit_ms", DEFAULT_STOP_GRACE_MS));
  c->early_start_ms = get_time (p, "early_ms", DEFAULT_EARLY_START_MS);
  c->move_ms = get_time (p, "move_ms", DEFAULT_MOVE_MS);
  c->maintenance_ms = get_time (p, "upkeep_ms", DEFAULT_MAINTENANCE_MS);
}

static void
read_fields (struct json_reader *p, struct site_settings *s)
{
  static const char *const known[] = { "vm",
                                       "zone",
                                       "cpu_share",
                                       "vm_orders_per_s",
                                       "max_record_bytes",
                                       "max_append_bytes",
                                       "listen",
                                       "ready_listen",
                                       "relay_listen",
                                       "store",
                                       "cloud",
                                       "relay_secret",
                                       "metrics_listen",
                                       "connections",
                                       "max_body_bytes",
                                       "body_memory_bytes",
                                       "body_receive_ms",
                                       "address_percent",
                                       "learn_interference",
                                       "share_by_weight",
                                       "log_lines",
                                       "revoke_ms",
                                       "lease_max_ms",
                                       "task_stop_ms",
                                       "status_s",
                                       "unconfirmed_state_s",
                                       "carrier_gap_ms",
                                       "harm_ms",
                                       "away_notice_ms",
                                       "early_ms",
                                       "stop_limit_ms",
                                       "stop_limit_s",
                                       "move_ms",
                                       "upkeep_ms",
                                       NULL };

  json_reject_unknown_keys (p, known);
  json_get_text (p, "vm", true, s->cell.member, NAME_BYTES);
  json_get_text (p, "zone", false, s->zone, NAME_BYTES);
  s->cell.cpu_milli
      = json_get_milli (p, "cpu_share", 1, CPU_LIMIT_MILLI, DEFAULT_CPU_MILLI);
  s->cell.vm_order_rate_milli = json_get_milli (
      p, "vm_orders_per_s", 1, VM_ORDER_LIMIT_MILLI, DEFAULT_VM_ORDER_MILLI);
  s->cell.record_limit_bytes = (uint32_t)json_get_number (
      p, "max_record_bytes", RECORD_LIMIT_MIN_BYTES, HIGHEST_BODY_LIMIT_BYTES,
      DEFAULT_RECORD_LIMIT_BYTES);
  s->cell.append_limit_bytes = (uint32_t)json_get_number (
      p, "max_append_bytes", APPEND_LIMIT_MIN_BYTES, HIGHEST_BODY_LIMIT_BYTES,
      DEFAULT_APPEND_LIMIT_BYTES);
  json_get_address (p, "listen", true, s->listen_address);
  json_get_address (p, "ready_listen", true, s->ready_listen_address);
  json_get_address (p, "relay_listen", true, s->cell.relay_address);
  json_get_address (p, "metrics_listen", false, s->metrics_listen_address);
  json_get_address (p, "store", true, s->store_address);
  json_get_address (p, "cloud", false, s->cloud_address);
  json_get_text (p, "relay_secret", true, s->relay_secret, TEXT_BYTES);
  if (s->relay_secret[0] != '\0'
      && strlen (s->relay_secret) < SECRET_MIN_BYTES)
    json_add_finding (p, "relay_secret", "is shorter than 16 characters");
  s->max_body_bytes = (uint32_t)json_get_number (p, "max_body_bytes", 1,
                                                 HIGHEST_BODY_LIMIT_BYTES,
                                                 DEFAULT_BODY_LIMIT_BYTES);
  s->connection_limit_count = (uint32_t)json_get_number (
      p, "connections", 1, 60000, DEFAULT_CONNECTION_LIMIT_COUNT);
  body_settings_read (p, DEFAULT_BODY_MEMORY_BYTES, s->max_body_bytes,
                      s->connection_limit_count, &s->bodies);
  s->log_capacity_count = (uint32_t)json_get_number (
      p, "log_lines", 16, 1000000, DEFAULT_LOG_CAPACITY_COUNT);
  s->cell.learn_interference = json_get_bool (p, "learn_interference", false);
  s->cell.share_by_weight = json_get_bool (p, "share_by_weight", false);
  read_times (p, &s->cell.times);
}

bool
site_settings_match (const char *file)
{
  json_t *document = json_load_file (file, 0, NULL);
  bool has_store = json_object_get (document, "store") != NULL;

  json_decref (document);
  return has_store;
}

struct site_settings *
site_settings_read (TALLOC_CTX *mem, const char *file, struct findings **f)
{
  struct site_settings *s = talloc_zero (mem, struct site_settings);
  json_t *document = json_document_read (mem, file, f);
  struct json_reader p;

  if (document != NULL && json_reader_open (&p, *f, document, ""))
    read_fields (&p, s);
  json_decref (document);
  if ((*f)->item_count > 0)
    TALLOC_FREE (s);
  return s;
}
