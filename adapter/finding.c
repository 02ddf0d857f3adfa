/* finding.c -- collecting faults with their place.  */

#include "adapter/finding.h"

#include <stdarg.h>

struct findings *
findings_new (TALLOC_CTX *mem, const char *file, const char *document)
{
  struct findings *f = talloc_zero (mem, struct findings);

  f->file = talloc_strdup (f, file);
  f->document = document;
  return f;
}

void
findings_add (struct findings *f, const char *path, const char *format, ...)
{
  struct finding *x;
  va_list args;

  f->items = talloc_realloc (f, f->items, struct finding, f->item_count + 1);
  x = &f->items[f->item_count++];
  x->line = 0;
  text_copy (x->path, sizeof x->path, path);
  va_start (args, format);
  vsnprintf (x->text, sizeof x->text, format, args);
  va_end (args);
}

void
findings_print (const struct findings *f, FILE *to)
{
  uint32_t i;

  for (i = 0; i < f->item_count; i++)
    fprintf (to, "%s:%u: %s: %s\n", f->file, f->items[i].line,
             f->items[i].path, f->items[i].text);
}
