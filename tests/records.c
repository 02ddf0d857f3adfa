/* records.c -- builds records for several tests and benchmarks.  */

#include "tests/records.h"

#include "adapter/record_json.h"

json_t *
records_checkpoint (const struct control *c)
{
  struct record *r = talloc_zero (NULL, struct record);
  json_t *j;

  r->kind = RECORD_CHECKPOINT;
  text_copy (r->id, ID_BYTES, "checkpoint");
  r->u.checkpoint = control_checkpoint (c, r);
  j = record_to_json (r);
  talloc_free (r);
  return j;
}
