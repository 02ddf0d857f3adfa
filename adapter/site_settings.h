/* site_settings.h -- settings of an entry on the users' platform (JSON).  */

#ifndef FTK_ADAPTER_SITE_SETTINGS_H
#define FTK_ADAPTER_SITE_SETTINGS_H

#include "adapter/finding.h"
#include "core/cell/cell.h"

struct site_settings
{
  struct cell_settings cell;
  char listen_address[ADDRESS_BYTES];         /**< For clients.  */
  char ready_listen_address[ADDRESS_BYTES];   /**< For the readiness check.  */
  char metrics_listen_address[ADDRESS_BYTES]; /**< Metrics; empty: none.  */
  char store_address[ADDRESS_BYTES];
  char cloud_address[ADDRESS_BYTES]; /**< Empty: no VMs to order for.  */
  char relay_secret[TEXT_BYTES];     /**< Shared by all entries.  */
  uint32_t max_body_bytes;
  uint32_t connection_limit_count; /**< Most clients at once.  */
  uint32_t log_capacity_count;     /**< Lines that may wait to be written.  */
};

/** Returns true if FILE holds settings of this kind: it names a store.  */
bool site_settings_match (const char *file);

/** Reads FILE as a child of MEM, or returns NULL with findings in F.  */
struct site_settings *site_settings_read (TALLOC_CTX *mem, const char *file,
                                          struct findings **f);

#endif
