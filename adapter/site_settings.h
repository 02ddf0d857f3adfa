/* site_settings.h -- settings of an entry on the users' platform, read from a
   JSON file.  */

#ifndef FTK_ADAPTER_SITE_SETTINGS_H
#define FTK_ADAPTER_SITE_SETTINGS_H

#include "adapter/body_budget.h"
#include "adapter/finding.h"
#include "core/cell/cell.h"

struct site_settings
{
  struct cell_settings cell;
  char listen_address[ADDRESS_BYTES];       /**< Serves clients.  */
  char ready_listen_address[ADDRESS_BYTES]; /**< Serves the readiness check. */
  char metrics_listen_address[ADDRESS_BYTES]; /**< Serves metrics; empty: none.
                                               */
  char zone[NAME_BYTES]; /**< Availability zone; empty: this entry sends no
                            orders for others.  */
  char store_address[ADDRESS_BYTES];
  char cloud_address[ADDRESS_BYTES]; /**< Empty: no VM is moved or maintained.
                                      */
  char relay_secret[TEXT_BYTES];     /**< Authenticates entries to each other;
                                        the same for all.  */
  uint32_t max_body_bytes;
  struct body_limits bodies;       /**< Of clients' bodies and connections.  */
  uint32_t connection_limit_count; /**< Most connections of clients at once. */
  uint32_t log_capacity_count; /**< Most log lines that wait to be written.  */
};

/** Returns true if FILE holds settings of this kind, that is, if it has the
    field "store".  */
bool site_settings_match (const char *file);

/** Returns the settings in FILE as a child of MEM, or NULL if there are
    findings.  *F becomes the list of findings, a child of MEM.  */
struct site_settings *site_settings_read (TALLOC_CTX *mem, const char *file,
                                          struct findings **f);

#endif
