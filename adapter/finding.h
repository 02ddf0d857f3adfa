/* finding.h -- faults of a document, collected and reported together.  */

#ifndef FTK_ADAPTER_FINDING_H
#define FTK_ADAPTER_FINDING_H

#include "port/types.h"

#include <stdio.h>
#include <talloc.h>

struct finding
{
  uint32_t line; /**< Line in the file, from 1; 0 if unknown.  */
  char path[TEXT_BYTES];
  char text[TEXT_BYTES];
};

/** All findings of one document; a talloc tree.  */
struct findings
{
  const char *file;
  const char *document; /**< Text of the document, for lines; or NULL.  */
  struct finding *items;
  uint32_t item_count;
};

/** Returns an empty list for FILE.  */
struct findings *findings_new (TALLOC_CTX *mem, const char *file,
                               const char *document);

/** Adds a finding at PATH (such as "pools[2].vms[0].slots"); its line comes
    from the document.  The list stays sorted by line.  */
void findings_add (struct findings *f, const char *path, const char *format,
                   ...) __attribute__ ((format (printf, 3, 4)));

/** Adds a finding at LINE, from 1; 0 if unknown.  */
void findings_add_at (struct findings *f, uint32_t line, const char *path,
                      const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Prints every finding as "file:line: path: text".  */
void findings_print (const struct findings *f, FILE *to);

#endif
