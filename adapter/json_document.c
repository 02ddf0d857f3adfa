/* json_document.c -- reads a JSON file.  */

#include "adapter/json_document.h"

#include <errno.h>
#include <string.h>

/** Largest file of settings or tables.  */
#define FILE_LIMIT_BYTES (16u << 20)
#define FIRST_READ_BYTES 8192

/* Returns the NUL-terminated text of FILE as a child of MEM and sets *SIZE to
   its length; or returns NULL with errno set.  */
static char *
read_text (TALLOC_CTX *mem, const char *file, size_t *size)
{
  FILE *in = fopen (file, "re");
  size_t capacity = FIRST_READ_BYTES;
  char *text;

  *size = 0;
  if (in == NULL)
    return NULL;
  text = talloc_array (mem, char, capacity);
  *size = fread (text, 1, capacity - 1, in);
  while (*size == capacity - 1 && capacity < FILE_LIMIT_BYTES)
    {
      capacity *= 2;
      text = talloc_realloc (mem, text, char, capacity);
      *size += fread (text + *size, 1, capacity - 1 - *size, in);
    }
  text[*size] = '\0';
  errno = ferror (in) ? EIO : *size == capacity - 1 ? EFBIG : 0;
  fclose (in);
  return errno == 0 ? text : NULL;
}

json_t *
json_document_read (TALLOC_CTX *mem, const char *file, struct findings **f)
{
  json_error_t error;
  json_t *j;
  size_t size;
  char *text;

  *f = findings_new (mem, file, NULL);
  text = read_text (*f, file, &size);
  if (text == NULL)
    {
      findings_add (*f, "", "cannot be read: %s", strerror (errno));
      return NULL;
    }
  j = json_loadb (text, size, JSON_REJECT_DUPLICATES, &error);
  if (j == NULL)
    findings_add_at (*f, error.line > 0 ? (uint32_t)error.line : 0, "", "%s",
                     error.text);
  else
    (*f)->document = text;
  return j;
}
