/* settings.h -- settings of one entry, read from a JSON file.  */

#ifndef FTK_ADAPTER_SETTINGS_H
#define FTK_ADAPTER_SETTINGS_H

#include "adapter/finding.h"

struct settings
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char listen_address[ADDRESS_BYTES];      /**< For callers and operators.  */
  char peer_listen_address[ADDRESS_BYTES]; /**< For other members.  */
  char log_address[ADDRESS_BYTES];         /**< The platform's log.  */
  char fleet_address[ADDRESS_BYTES];       /**< The platform's fleet list.  */
  char cluster_secret[TEXT_BYTES];         /**< Shared by all members.  */
  uint32_t max_body_bytes;
  uint32_t fresh_limit_ms;
  uint32_t stop_limit_ms;
  uint32_t connection_limit_count; /**< Most callers at once.  */
};

/** Reads FILE as a child of MEM, or returns NULL with findings in F.  */
struct settings *settings_read (TALLOC_CTX *mem, const char *file,
                                struct findings **f);

#endif
