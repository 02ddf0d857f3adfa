/* job_codec.h -- msgpack coding of jobs, and of the records in the store.

   A job is [id, payload, times, first, interval, [step...]]; a step its fields
   in the order of struct job_step.  A record's value is [1, queue, tenant,
   accepted, job], [2, state, final, ended, tasks, rows] or [3, wave, [done
   ...]].  */

#ifndef FTK_ADAPTER_JOB_CODEC_H
#define FTK_ADAPTER_JOB_CODEC_H

#include "adapter/pack.h"
#include "port/cell_action.h"

void job_pack (msgpack_packer *p, const struct job_spec *j);

/** Returns a job as a child of MEM, or NULL if the field is malformed.  */
struct job_spec *job_unpack (TALLOC_CTX *mem, struct unpack *u);

/** Appends the records of an append to OUT in the store's framing: a length of
    4 bytes, big end first, then a key with a length byte, then the value.  */
void append_records_pack (msgpack_sbuffer *out,
                          const struct append_record *items,
                          uint32_t item_count);

/** Appends one record with KEY and the value of SIZE_BYTES at VALUE.  */
void keyed_record_pack (msgpack_sbuffer *out, const char *key,
                        const void *value, uint32_t size_bytes);

/** Reads the record KEY; returns false if it is none of a job's.  Rows
    become children of MEM.  */
bool recovered_record_unpack (TALLOC_CTX *mem, const char *key,
                              const void *value, uint32_t size_bytes,
                              struct recovered_record *r);

#endif
