/* finding.c -- collects faults with their lines.  */

#include "adapter/finding.h"

#include "adapter/json_line.h"

#include <stdarg.h>

struct findings *
findings_new (TALLOC_CTX *mem, const char *file, const char *document)
{
  struct findings *f = talloc_zero (mem, struct findings);

  f->file = talloc_strdup (f, file);
  f->document = document;
  return f;
}

/* Inserts a finding at LINE after those of the same line.  */
static struct finding *
insert (struct findings *f, uint32_t line)
{
  uint32_t i = f->item_count++;

  f->items = talloc_realloc (f, f->items, struct finding, f->item_count);
  for (; i > 0 && f->items[i - 1].line > line; i--)
    f->items[i] = f->items[i - 1];
  f->items[i].line = line;
  return &f->items[i];
}

static void
add (struct findings *f, uint32_t line, const char *path, const char *format,
     va_list args)
{
  struct finding *x = insert (f, line);

  text_copy (x->path, sizeof x->path, path);
  vsnprintf (x->text, sizeof x->text, format, args);
}

void
findings_add (struct findings *f, const char *path, const char *format, ...)
{
  uint32_t line = f->document ? json_line_of (f->document, path) : 0;
  va_list args;

  va_start (args, format);
  add (f, line, path, format, args);
  va_end (args);
}

void
findings_add_at (struct findings *f, uint32_t line, const char *path,
                 const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add (f, line, path, format, args);
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
