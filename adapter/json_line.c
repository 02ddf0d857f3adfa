/* json_line.c -- follows a path through the text of a JSON document.

   jansson has accepted the text, so its syntax is not checked again.  */

#include "adapter/json_line.h"

#include <stdlib.h>
#include <string.h>

/* A position in the text.  */
struct cursor
{
  const char *at;
  uint32_t line;
};

static void
advance (struct cursor *c)
{
  if (*c->at == '\n')
    c->line++;
  c->at++;
}

static void
skip_space (struct cursor *c)
{
  while (*c->at != '\0' && strchr (" \t\r\n", *c->at) != NULL)
    advance (c);
}

/* Moves past a string, from its opening quote.  */
static void
skip_string (struct cursor *c)
{
  advance (c);
  while (*c->at != '\0' && *c->at != '"')
    {
      if (*c->at == '\\')
        advance (c);
      if (*c->at != '\0')
        advance (c);
    }
  if (*c->at == '"')
    advance (c);
}

/* Moves past a value, to the comma or bracket that follows.  */
static void
skip_value (struct cursor *c)
{
  uint32_t depth = 0;

  while (*c->at != '\0')
    {
      if (*c->at == '"')
        {
          skip_string (c);
          continue;
        }
      if (*c->at == '{' || *c->at == '[')
        depth++;
      else if (depth == 0 && strchr (",}]", *c->at) != NULL)
        return;
      else if (*c->at == '}' || *c->at == ']')
        depth--;
      advance (c);
    }
}

/* Returns SIZE if the first part of PATH is the key of SIZE characters at KEY,
   else 0.  */
static size_t
match_key (const char *path, const char *key, size_t size)
{
  if (size == 0 || strncmp (path, key, size) != 0)
    return 0;
  return strchr (".[", path[size]) != NULL ? size : 0;
}

/* Moves to the value of the member that PATH starts with, sets *LINE to the
   line of its key and returns the length of the key, or 0 if there is none.  A
   key may contain dots, so the longest match is taken.  */
static size_t
enter_member (struct cursor *c, const char *path, uint32_t *line)
{
  struct cursor found = *c;
  size_t used = 0;

  advance (c);
  skip_space (c);
  while (*c->at == '"')
    {
      struct cursor key = *c;
      size_t n;

      skip_string (c);
      n = match_key (path, key.at + 1, (size_t)(c->at - key.at) - 2);
      skip_space (c);
      advance (c);
      skip_space (c);
      if (n > used)
        {
          used = n;
          found = *c;
          *line = key.line;
        }
      skip_value (c);
      if (*c->at == ',')
        advance (c);
      skip_space (c);
    }
  *c = found;
  return used;
}

/* Moves to element INDEX of an array; returns 0 if there is no such
   element.  */
static int
enter_element (struct cursor *c, unsigned long index)
{
  advance (c);
  skip_space (c);
  for (; index > 0 && *c->at != ']' && *c->at != '\0'; index--)
    {
      skip_value (c);
      if (*c->at == ',')
        advance (c);
      skip_space (c);
    }
  return index == 0 && *c->at != ']' && *c->at != '\0';
}

uint32_t
json_line_of (const char *text, const char *path)
{
  struct cursor c = { text, 1 };
  uint32_t line;

  skip_space (&c);
  line = c.line;
  while (*path != '\0')
    {
      if (*path == '.')
        path++;
      if (*path == '[' && *c.at == '[')
        {
          char *end;

          if (!enter_element (&c, strtoul (path + 1, &end, 10)))
            break;
          line = c.line;
          path = *end == ']' ? end + 1 : end;
        }
      else if (*c.at == '{')
        {
          size_t used = enter_member (&c, path, &line);

          if (used == 0)
            break;
          path += used;
        }
      else
        break;
    }
  return line;
}
