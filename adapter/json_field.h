/* json_field.h -- reading fields of a JSON object with findings.  */

#ifndef FTK_ADAPTER_JSON_FIELD_H
#define FTK_ADAPTER_JSON_FIELD_H

#include "adapter/finding.h"

#include <jansson.h>

/** An object being read, with its path in the document.  */
struct json_reader
{
  struct findings *findings;
  const json_t *object;
  char path[TEXT_BYTES];
};

/** Starts reading OBJECT at PATH; returns false (and adds a finding) if it is
    no object.  */
bool json_reader_open (struct json_reader *p, struct findings *f,
                       const json_t *object, const char *path);

/** Adds a finding for every key not in KNOWN (NULL at the end).  */
void json_reject_unknown_keys (struct json_reader *p,
                               const char *const *known);

/** Copies the string KEY to DST; a missing one is a finding if REQUIRED.  */
void json_get_text (struct json_reader *p, const char *key, bool required,
                    char *dst, uint32_t size_bytes);

/** Copies the address KEY, "IP:PORT", to DST (ADDRESS_BYTES).  */
void json_get_address (struct json_reader *p, const char *key, bool required,
                       char *dst);

/** Returns the whole number KEY within [LOW, HIGH], or OTHERWISE.  */
uint64_t json_get_number (struct json_reader *p, const char *key, uint64_t low,
                          uint64_t high, uint64_t otherwise);

/** Returns the number KEY, which may have a fraction, in thousandths; LOW,
   HIGH and OTHERWISE are thousandths too.  */
uint32_t json_get_milli (struct json_reader *p, const char *key, uint32_t low,
                         uint32_t high, uint32_t otherwise);

/** Returns the boolean KEY, or OTHERWISE.  */
bool json_get_bool (struct json_reader *p, const char *key, bool otherwise);

/** Returns the array KEY, or NULL; a missing one is a finding if REQUIRED.  */
const json_t *json_get_array (struct json_reader *p, const char *key,
                              bool required);

/** Adds a finding at KEY of this place.  */
void json_add_finding (struct json_reader *p, const char *key,
                       const char *text);

#endif
