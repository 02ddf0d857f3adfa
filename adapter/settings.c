/* settings.c -- reading and checking the settings file.  */

#include "adapter/settings.h"

#include "adapter/body_settings.h"
#include "adapter/json_document.h"
#include "adapter/json_field.h"

#include <string.h>

#define DEFAULT_MAX_BODY_BYTES (8u << 20)
#define HIGHEST_MAX_BODY_BYTES (64u << 20)
#define DEFAULT_LOG_AGE_LIMIT_MS 5000
#define DEFAULT_STOP_LIMIT_MS 30000
#define DEFAULT_CONNECTION_COUNT 12000
/** Eight bodies of the default largest size.  */
#define DEFAULT_BODY_MEMORY_BYTES (64u << 20)
#define MIN_SECRET_BYTES 16

static void
read_fields (struct json_reader *p, struct settings *s)
{
  static const char *const known[] = { "vm",
                                       "zone",
                                       "listen",
                                       "peer_listen",
                                       "log",
                                       "cluster_secret",
                                       "max_body_bytes",
                                       "fresh_limit_ms",
                                       "fleet",
                                       "stop_limit_ms",
                                       "connections",
                                       "body_memory_bytes",
                                       "body_receive_ms",
                                       "address_percent",
                                       NULL };

  json_reject_unknown_keys (p, known);
  json_get_text (p, "vm", true, s->vm, NAME_BYTES);
  json_get_text (p, "zone", false, s->zone, NAME_BYTES);
  json_get_address (p, "listen", true, s->listen_address);
  json_get_address (p, "peer_listen", true, s->peer_listen_address);
  json_get_address (p, "log", true, s->log_address);
  json_get_address (p, "fleet", false, s->fleet_address);
  json_get_text (p, "cluster_secret", true, s->cluster_secret, TEXT_BYTES);
  if (s->cluster_secret[0] != '\0'
      && strlen (s->cluster_secret) < MIN_SECRET_BYTES)
    json_add_finding (p, "cluster_secret", "is shorter than 16 characters");
  s->max_body_bytes = (uint32_t)json_get_number (
      p, "max_body_bytes", 1, HIGHEST_MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES);
  s->log_age_limit_ms = (uint32_t)json_get_number (
      p, "fresh_limit_ms", 100, 60000, DEFAULT_LOG_AGE_LIMIT_MS);
  s->stop_limit_ms = (uint32_t)json_get_number (p, "stop_limit_ms", 0, 3600000,
                                                DEFAULT_STOP_LIMIT_MS);
  s->connection_limit_count = (uint32_t)json_get_number (
      p, "connections", 1, 60000, DEFAULT_CONNECTION_COUNT);
  body_settings_read (p, DEFAULT_BODY_MEMORY_BYTES, s->max_body_bytes,
                      s->connection_limit_count, &s->bodies);
}

struct settings *
settings_read (TALLOC_CTX *mem, const char *file, struct findings **f)
{
  struct settings *s = talloc_zero (mem, struct settings);
  json_t *document = json_document_read (mem, file, f);
  struct json_reader p;

  if (document != NULL && json_reader_open (&p, *f, document, ""))
    read_fields (&p, s);
  json_decref (document);
  if ((*f)->item_count > 0)
    TALLOC_FREE (s);
  return s;
}
