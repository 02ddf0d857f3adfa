/* json_document.c -- reading a JSON file whole.  */

#include "adapter/json_document.h"

#include <errno.h>
#include <string.h>

/** Largest settings or tables file.  */
#define FILE_LIMIT_BYTES (16u << 20)
#define FIRST_READ_BYTES 8192

/* Returns the text of FILE with a NUL behind it, or NULL with errno set.  */
static char *
read_text (TALLOC_CTX *mem, const char *file, size_t *size)
{
  FILE *in = fopen (file, "re");
  size_t room = FIRST_READ_BYTES;
  char *text;

  *size = 0;
  if (in == NULL)
    return NULL;
  text = talloc_array (mem, char, room);
  *size = fread (text, 1, room - 1, in);
  while (*size == room - 1 && room < FILE_LIMIT_BYTES)
    {
      room *= 2;
      text = talloc_realloc (mem, text, char, room);
      *size += fread (text + *size, 1, room - 1 - *size, in);
    }
  text[*size] = '\0';
  errno = ferror (in) ? EIO : *size == room - 1 ? EFBIG : 0;
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
