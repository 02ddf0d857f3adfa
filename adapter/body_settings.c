/* body_settings.c -- the settings that limit clients' bodies and
   connections.  */

#include "adapter/body_settings.h"

#define HIGHEST_MEMORY_BYTES (UINT64_C (1) << 36)
#define LOWEST_RECEIVE_MS 1000
#define HIGHEST_RECEIVE_MS 3600000
/** At this time a body of 262,144 bytes, the limit of ordinary clients, needs
    a rate of 4.4 kB/s.  */
#define DEFAULT_RECEIVE_MS 60000
/** All ordinary clients may be behind one load balancer, so the rest is only
    what lets another address connect.  */
#define DEFAULT_ADDRESS_PERCENT 90

void
body_settings_read (struct json_reader *p, uint64_t memory_bytes,
                    uint32_t body_bytes, uint32_t connection_limit_count,
                    struct body_limits *l)
{
  l->body_bytes = body_bytes;
  l->connection_limit_count = connection_limit_count;
  l->total_bytes
      = json_get_number (p, "body_memory_bytes", 1, HIGHEST_MEMORY_BYTES,
                         MAX (memory_bytes, body_bytes));
  if (l->total_bytes < body_bytes)
    json_add_finding (p, "body_memory_bytes", "is below max_body_bytes");
  l->receive_ms
      = (uint32_t)json_get_number (p, "body_receive_ms", LOWEST_RECEIVE_MS,
                                   HIGHEST_RECEIVE_MS, DEFAULT_RECEIVE_MS);
  l->address_percent = (uint32_t)json_get_number (p, "address_percent", 1, 100,
                                                  DEFAULT_ADDRESS_PERCENT);
}
