/* progress_codec.h -- msgpack coding of the tasks in a record of a job's
   progress.  */

#ifndef FTK_ADAPTER_PROGRESS_CODEC_H
#define FTK_ADAPTER_PROGRESS_CODEC_H

#include "adapter/pack.h"
#include "port/cell_action.h"

/** Packs the rows of the tasks of X, in two fields.  */
void progress_rows_pack (msgpack_packer *p, const struct append_record *x);
/** Reads such rows into R, as children of MEM.  Returns false if they are
    malformed.  */
bool progress_rows_unpack (TALLOC_CTX *mem, struct unpack *u,
                           struct recovered_record *r);

/** Packs what the rows of X do not hold of failed runs, in one field.  */
void progress_failures_pack (msgpack_packer *p, const struct append_record *x);
/** Reads that field, if there is one, into the tasks of R.  Returns false if
   it is malformed.  */
bool progress_failures_unpack (struct unpack *u, struct recovered_record *r);

#endif
