/* body_settings.h -- the settings that limit clients' bodies and connections,
   the same in both formats.  */

#ifndef FTK_ADAPTER_BODY_SETTINGS_H
#define FTK_ADAPTER_BODY_SETTINGS_H

#include "adapter/body_budget.h"
#include "adapter/json_field.h"

/** Reads L from P.  MEMORY_BYTES is the default of its total, raised to
    BODY_BYTES, the largest body; a total below this is a finding.  */
void body_settings_read (struct json_reader *p, uint64_t memory_bytes,
                         uint32_t body_bytes, uint32_t connection_limit_count,
                         struct body_limits *l);

#endif
