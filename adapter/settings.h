/* settings.h -- the settings of one entry, read from a JSON file.  */

#ifndef FTK_ADAPTER_SETTINGS_H
#define FTK_ADAPTER_SETTINGS_H

#include "adapter/body_budget.h"
#include "adapter/finding.h"

struct settings
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char listen_address[ADDRESS_BYTES]; /**< HTTP for callers and operators.  */
  char peer_listen_address[ADDRESS_BYTES]; /**< For the other members.  */
  char log_address[ADDRESS_BYTES];         /**< The platform's log.  */
  char fleet_address[ADDRESS_BYTES];       /**< The platform's fleet list;
                                            empty: none.  */
  char cluster_secret[TEXT_BYTES]; /**< Proves membership on peer links; the
                                      same on all members.  */
  uint32_t max_body_bytes;
  struct body_limits bodies; /**< Of clients' bodies and connections.  */
  uint32_t log_age_limit_ms; /**< Above this log age no new work is taken.  */
  uint32_t stop_limit_ms;    /**< Longest time that a planned stop waits for
                                requests.  */
  uint32_t connection_limit_count; /**< Most HTTP connections at once.  */
};

/** Returns the settings in FILE as a child of MEM, or NULL with findings in
    F (made as a child of MEM).  */
struct settings *settings_read (TALLOC_CTX *mem, const char *file,
                                struct findings **f);

#endif
