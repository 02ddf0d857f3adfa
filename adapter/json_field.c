/* json_field.c -- typed fields of JSON objects, faults collected.  */

#include "adapter/json_field.h"

#include "adapter/address.h"

#include <string.h>

void
json_add_finding (struct json_reader *p, const char *key, const char *text)
{
  char path[2 * TEXT_BYTES];

  snprintf (path, sizeof path, "%s%s%s", p->path, p->path[0] ? "." : "", key);
  findings_add (p->findings, path, "%s", text);
}

bool
json_reader_open (struct json_reader *p, struct findings *f,
                  const json_t *object, const char *path)
{
  p->findings = f;
  p->object = object;
  text_copy (p->path, sizeof p->path, path);
  if (json_is_object (object))
    return true;
  findings_add (f, path, "expected an object");
  return false;
}

void
json_reject_unknown_keys (struct json_reader *p, const char *const *known)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)p->object, key, value)
  {
    const char *const *k = known;

    while (*k != NULL && strcmp (*k, key) != 0)
      k++;
    if (*k == NULL)
      json_add_finding (p, key, "unknown field");
  }
}

void
json_get_text (struct json_reader *p, const char *key, bool required,
               char *dst, uint32_t size_bytes)
{
  const json_t *v = json_object_get (p->object, key);

  dst[0] = '\0';
  if (v == NULL)
    {
      if (required)
        json_add_finding (p, key, "missing");
      return;
    }
  if (!json_is_string (v))
    json_add_finding (p, key, "expected a string");
  else if (required && json_string_length (v) == 0)
    json_add_finding (p, key, "is empty");
  else if (!text_copy (dst, size_bytes, json_string_value (v)))
    json_add_finding (p, key, "is too long");
}

void
json_get_address (struct json_reader *p, const char *key, bool required,
                  char *dst)
{
  struct sockaddr_in a;

  json_get_text (p, key, required, dst, ADDRESS_BYTES);
  if (dst[0] != '\0' && !address_parse (dst, &a))
    json_add_finding (p, key,
                      "expected an IP number and a port, \"127.0.0.1:80\"");
}

uint64_t
json_get_number (struct json_reader *p, const char *key, uint64_t low,
                 uint64_t high, uint64_t otherwise)
{
  const json_t *v = json_object_get (p->object, key);
  char text[TEXT_BYTES];
  json_int_t n;

  if (v == NULL)
    return otherwise;
  if (!json_is_integer (v))
    {
      json_add_finding (p, key, "expected a whole number");
      return otherwise;
    }
  n = json_integer_value (v);
  if (n < 0 || (uint64_t)n < low || (uint64_t)n > high)
    {
      snprintf (text, sizeof text, "%lld is outside %llu to %llu",
                (long long)n, (unsigned long long)low,
                (unsigned long long)high);
      json_add_finding (p, key, text);
      return otherwise;
    }
  return (uint64_t)n;
}

uint32_t
json_get_milli (struct json_reader *p, const char *key, uint32_t low,
                uint32_t high, uint32_t otherwise)
{
  const json_t *v = json_object_get (p->object, key);
  double milli = json_number_value (v) * 1000;
  char text[TEXT_BYTES];

  if (v == NULL)
    return otherwise;
  if (!json_is_number (v))
    {
      json_add_finding (p, key, "expected a number");
      return otherwise;
    }
  if (milli < low || milli > high)
    {
      snprintf (text, sizeof text, "%g is outside %g to %g", milli / 1000,
                low / 1000.0, high / 1000.0);
      json_add_finding (p, key, text);
      return otherwise;
    }
  return (uint32_t)(milli + 0.5);
}

bool
json_get_bool (struct json_reader *p, const char *key, bool otherwise)
{
  const json_t *v = json_object_get (p->object, key);

  if (v == NULL)
    return otherwise;
  if (!json_is_boolean (v))
    json_add_finding (p, key, "expected true or false");
  return json_is_true (v);
}

const json_t *
json_get_array (struct json_reader *p, const char *key, bool required)
{
  const json_t *v = json_object_get (p->object, key);

  if (v == NULL)
    {
      if (required)
        json_add_finding (p, key, "missing");
      return NULL;
    }
  if (json_is_array (v))
    return v;
  json_add_finding (p, key, "expected an array");
  return NULL;
}
