/* job_codec.h -- msgpack coding of jobs, and of the records in the store.

   A job is [id, payload, occurrences, first due, interval, [step...]]; a step
   is its fields in the order of struct job_step.  The value of a record is one
   of

     [1, queue, tenant, accepted, job]
     [2, state, final, ended, task count, rows of tasks as one binary]
     [3, wave, [done of each VM...]]
     [4, [pool...]], a pool being its fields in the order of struct
       pool_history.

   Times are in milliseconds, points in time as Unix time.  */

#ifndef FTK_ADAPTER_JOB_CODEC_H
#define FTK_ADAPTER_JOB_CODEC_H

#include "adapter/pack.h"
#include "port/cell_action.h"

/** Appends J to the message being packed.  */
void job_pack (msgpack_packer *p, const struct job_spec *j);

/** Decodes the next field of U.  Returns a job as a child of MEM, or NULL if
    the field is malformed; U has failed then.  */
struct job_spec *job_unpack (TALLOC_CTX *mem, struct unpack *u);

/** Appends ITEMS to OUT as records in the store's framing: a big-endian length
    of 4 bytes, which counts the rest; a byte with the length of the key; the
    key; the value.  */
void append_records_pack (msgpack_sbuffer *out,
                          const struct append_record *items,
                          uint32_t item_count);

/** Appends one framed record with KEY and the SIZE_BYTES at VALUE; without a
    value it deletes the key.  */
void keyed_record_pack (msgpack_sbuffer *out, const char *key,
                        const void *value, uint32_t size_bytes);

/** Decodes the record with KEY into R, whose job and arrays become children of
    MEM.  Returns false if the key was deleted or is not one of a job, a wave
    or the history of pools, or if the value is malformed.  */
bool recovered_record_unpack (TALLOC_CTX *mem, const char *key,
                              const void *value, uint32_t size_bytes,
                              struct recovered_record *r);

#endif
