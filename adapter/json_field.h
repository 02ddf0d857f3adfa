/* json_field.h -- reads and checks fields of a JSON object; faults become
   findings.  */

#ifndef FTK_ADAPTER_JSON_FIELD_H
#define FTK_ADAPTER_JSON_FIELD_H

#include "adapter/finding.h"

#include <jansson.h>

/** An object being read.  */
struct json_reader
{
  struct findings *findings; /**< Where the object's faults are added.  */
  const json_t *object;
  char path[TEXT_BYTES]; /**< Path of the object; empty: the document.  */
};

/** Starts reading OBJECT at PATH; returns false and adds a finding if it is no
    object.  */
bool json_reader_open (struct json_reader *p, struct findings *f,
                       const json_t *object, const char *path);

/** Adds a finding for each key that is not in KNOWN, which ends with NULL.  */
void json_reject_unknown_keys (struct json_reader *p,
                               const char *const *known);

/** Copies the string KEY to DST of SIZE_BYTES, or leaves DST empty.  A missing
    or empty string is a finding if REQUIRED.  */
void json_get_text (struct json_reader *p, const char *key, bool required,
                    char *dst, uint32_t size_bytes);

/** Like json_get_text, for an address "IP:PORT"; DST has ADDRESS_BYTES.  */
void json_get_address (struct json_reader *p, const char *key, bool required,
                       char *dst);

/** Returns the integer KEY, or FALLBACK if it is missing, no integer or not
    within LOW to HIGH.  */
uint64_t json_get_number (struct json_reader *p, const char *key, uint64_t low,
                          uint64_t high, uint64_t fallback);

/** Like json_get_number, for a number that may have a fraction; returns it in
    thousandths.  LOW, HIGH and FALLBACK are thousandths too.  */
uint32_t json_get_milli (struct json_reader *p, const char *key, uint32_t low,
                         uint32_t high, uint32_t fallback);

/** Returns the boolean KEY, or FALLBACK if it is missing; a faulty one reads
    as false.  */
bool json_get_bool (struct json_reader *p, const char *key, bool fallback);

/** Returns the array KEY, or NULL if it is missing or faulty.  A missing one
    is a finding if REQUIRED.  */
const json_t *json_get_array (struct json_reader *p, const char *key,
                              bool required);

/** Adds the finding TEXT at KEY of the object.  */
void json_add_finding (struct json_reader *p, const char *key,
                       const char *text);

#endif
