/* finding.h -- collects the faults of a document, to report them together.  */

#ifndef FTK_ADAPTER_FINDING_H
#define FTK_ADAPTER_FINDING_H

#include "port/types.h"

#include <stdio.h>
#include <talloc.h>

/** One fault.  */
struct finding
{
  uint32_t line;         /**< Line in the file, from 1; 0 if unknown.  */
  char path[TEXT_BYTES]; /**< Path of the field; empty: the document.  */
  char text[TEXT_BYTES]; /**< What is wrong.  */
};

/** All findings of one document; a talloc tree.  */
struct findings
{
  const char *file;
  const char *document;  /**< Its text, to find lines in; NULL: none.  */
  struct finding *items; /**< Sorted by line.  */
  uint32_t item_count;
};

/** Returns an empty list for FILE as a child of MEM.  DOCUMENT stays the
    caller's and must outlive the list.  */
struct findings *findings_new (TALLOC_CTX *mem, const char *file,
                               const char *document);

/** Adds a finding at PATH, such as "pools[2].vms[0].slots".  Its line is
    looked up in the text of the document; without the text it is 0.  */
void findings_add (struct findings *f, const char *path, const char *format,
                   ...) __attribute__ ((format (printf, 3, 4)));

/** Adds a finding at LINE, from 1; 0: unknown.  */
void findings_add_at (struct findings *f, uint32_t line, const char *path,
                      const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Prints every finding as "file:line: path: text".  */
void findings_print (const struct findings *f, FILE *to);

#endif
