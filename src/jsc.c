/* JSON scanner: finds the parts of a text without parsing them, so that an invalid part leaves the
 * others readable. Nesting costs no stack. */
#include "jsc.h"

#include <string.h>

#define JSC_INDEXED_MIN_BYTES 4096

static void
skip_space (JscSpan *text)
{
  while (text->at < text->end && strchr (" \t\r\n", *text->at) != NULL && *text->at != '\0')
    text->at++;
}

/* Whether an odd number of backslashes precedes the quote. */
static bool
is_escaped (const char *start, const char *quote)
{
  const char *at = quote;

  while (at > start && at[-1] == '\\')
    at--;
  return (quote - at) % 2 != 0;
}

/* Moves behind a string; false if it has no end. */
static bool
skip_string (JscSpan *text)
{
  const char *start = text->at + 1;
  const char *quote = start;

  while (quote < text->end && (quote = memchr (quote, '"', (size_t) (text->end - quote))) != NULL)
    {
      if (!is_escaped (start, quote))
        {
          text->at = quote + 1;
          return true;
        }
      quote++;
    }
  text->at = text->end;
  return false;
}

static bool
is_opening (char c)
{
  return c == '{' || c == '[';
}

static bool
is_closing (char c)
{
  return c == '}' || c == ']';
}

/* Moves behind an object or array; false if it has no end. @depth_max: see jsc_depth(). */
static bool
skip_nested (JscSpan *text, uint32_t *depth_max)
{
  uint32_t depth = 0;

  while (text->at < text->end)
    {
      char c = *text->at;
      if (c == '"')
        {
          if (!skip_string (text))
            return false;
          continue;
        }
      text->at++;
      if (is_opening (c))
        {
          depth++;
          *depth_max = depth > *depth_max ? depth : *depth_max;
        }
      else if (is_closing (c) && --depth == 0)
        return true;
    }
  return false;
}

/* Moves behind an object or array whose end is in the text's index; false without one. */
static bool
skip_indexed (JscSpan *text)
{
  for (uint32_t i = 0; text->index != NULL && i < text->index->count; i++)
    if (text->index->values[i].at == text->at)
      {
        text->at = text->index->values[i].end;
        return true;
      }
  return false;
}

static bool
skip_scalar (JscSpan *text)
{
  const char *start = text->at;

  while (text->at < text->end && *text->at != ',' && !is_closing (*text->at))
    text->at++;
  return text->at > start;
}

/* ---- Index ---- */

void
jsc_index_start (JscIndex *index, const char *text, size_t size)
{
  *index = (JscIndex){ .at = text, .end = text + size };
}

static void
index_start_of_value (JscIndex *index)
{
  if (index->depth < JSC_INDEX_DEPTH)
    index->open[index->depth] = index->at;
  index->depth++;
}

static void
index_end_of_value (JscIndex *index)
{
  if (index->depth == 0)
    return;
  index->depth--;
  if (index->depth >= JSC_INDEX_DEPTH || index->count == JSC_INDEX_VALUES)
    return;
  const char *start = index->open[index->depth];
  if (index->at + 1 - start < JSC_INDEXED_MIN_BYTES)
    return;
  index->values[index->count].at = start;
  index->values[index->count].end = index->at + 1;
  index->count++;
}

bool
jsc_index_step (JscIndex *index, size_t bytes)
{
  const char *stop = (size_t) (index->end - index->at) > bytes ? index->at + bytes : index->end;

  while (index->at < stop)
    {
      JscSpan text = { .at = index->at, .end = index->end };
      char c = *index->at;
      if (c == '"')
        {
          skip_string (&text);
          index->at = text.at;
          continue;
        }
      if (is_opening (c))
        index_start_of_value (index);
      else if (is_closing (c))
        index_end_of_value (index);
      index->at++;
    }
  return index->at >= index->end;
}

/* ---- Values ---- */

bool
jsc_take_value (JscSpan *text, JscSpan *value)
{
  uint32_t depth = 0;
  bool ok = false;

  skip_space (text);
  *value = *text;
  if (text->at < text->end)
    {
      if (*text->at == '"')
        ok = skip_string (text);
      else if (is_opening (*text->at))
        ok = skip_indexed (text) || skip_nested (text, &depth);
      else
        ok = skip_scalar (text);
    }
  value->end = text->at;
  return ok;
}

bool
jsc_take_char (JscSpan *text, char c)
{
  skip_space (text);
  if (text->at >= text->end || *text->at != c)
    return false;
  text->at++;
  return true;
}

bool
jsc_open (JscSpan text, JscSpan *contents)
{
  JscSpan value;

  return jsc_take_value (&text, &value) && jsc_open_value (value, contents);
}

bool
jsc_next_element (JscSpan *contents, JscSpan *value)
{
  if (!jsc_take_value (contents, value))
    return false;
  jsc_take_char (contents, ',');
  return true;
}

bool
jsc_is_blank (JscSpan text)
{
  skip_space (&text);
  return text.at == text.end;
}

bool
jsc_open_value (JscSpan value, JscSpan *contents)
{
  if (value.at >= value.end || !is_opening (*value.at))
    return false;
  *contents = (JscSpan){ .at = value.at + 1, .end = value.end - 1, .index = value.index };
  return true;
}

static void
set_member (JscMember *members, size_t count, JscSpan key, JscSpan value)
{
  size_t size = (size_t) (key.end - key.at);

  for (size_t i = 0; i < count; i++)
    if (members[i].value.at == NULL && size == strlen (members[i].name) + 2
        && memcmp (key.at + 1, members[i].name, size - 2) == 0)
      members[i].value = value;
}

void
jsc_members (JscSpan contents, JscMember *members, size_t count)
{
  JscSpan key;
  JscSpan value;

  for (size_t i = 0; i < count; i++)
    members[i].value = (JscSpan){ 0 };
  while (jsc_take_value (&contents, &key) && jsc_take_char (&contents, ':')
         && jsc_take_value (&contents, &value))
    {
      set_member (members, count, key, value);
      jsc_take_char (&contents, ',');
    }
}

bool
jsc_member (JscSpan contents, const char *name, JscSpan *value)
{
  JscMember member = { .name = name };

  jsc_members (contents, &member, 1);
  *value = member.value;
  return value->at != NULL;
}

uint64_t
jsc_uint (JscSpan text, uint64_t fallback)
{
  uint64_t number = 0;
  const char *start = text.at;

  for (; text.at < text.end && *text.at >= '0' && *text.at <= '9'; text.at++)
    {
      uint64_t digit = (uint64_t) (*text.at - '0');
      if (number > (UINT64_MAX - digit) / 10)
        return fallback;
      number = number * 10 + digit;
    }
  return text.at > start ? number : fallback;
}

bool
jsc_is_true (JscSpan text)
{
  static const char literal[] = "true";
  size_t size = strlen (literal);

  return (size_t) (text.end - text.at) >= size && memcmp (text.at, literal, size) == 0;
}

uint32_t
jsc_depth (JscSpan text)
{
  uint32_t depth = 0;

  while (text.at < text.end)
    if (is_opening (*text.at))
      skip_nested (&text, &depth);
    else if (*text.at == '"')
      skip_string (&text);
    else
      text.at++;
  return depth;
}
