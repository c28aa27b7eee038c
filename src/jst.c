/* JSON strings: decodes one of any bytes, also where a JSON parser would reject the text. Pure. */
#include "jst.h"

#include <string.h>

#define UNIT_DIGITS 4
#define HIGH_SURROGATE_FIRST 0xd800u
#define LOW_SURROGATE_FIRST 0xdc00u
#define LOW_SURROGATE_LAST 0xdfffu
#define SUPPLEMENTARY_FIRST 0x10000u

/* Takes the escape of a UTF-16 code unit, "\u" and four digits; false if the text doesn't start
 * with one. */
static bool
take_unit (JscSpan *text, gunichar *unit)
{
  gunichar value = 0;

  if (text->end - text->at < 2 + UNIT_DIGITS || text->at[0] != '\\' || text->at[1] != 'u')
    return false;
  for (int i = 0; i < UNIT_DIGITS; i++)
    {
      int digit = g_ascii_xdigit_value (text->at[2 + i]);
      if (digit < 0)
        return false;
      value = value * 16 + (gunichar) digit;
    }
  text->at += 2 + UNIT_DIGITS;
  *unit = value;
  return true;
}

static bool
is_between (gunichar unit, gunichar first, gunichar last)
{
  return unit >= first && unit <= last;
}

/* Joins the halves of a surrogate pair; @high has been taken. */
static gunichar
join_pair (JscSpan *text, gunichar high)
{
  JscSpan rest = *text;
  gunichar low;

  if (!is_between (high, HIGH_SURROGATE_FIRST, LOW_SURROGATE_FIRST - 1) || !take_unit (&rest, &low)
      || !is_between (low, LOW_SURROGATE_FIRST, LOW_SURROGATE_LAST))
    return high;
  *text = rest;
  return SUPPLEMENTARY_FIRST + ((high - HIGH_SURROGATE_FIRST) << 10) + (low - LOW_SURROGATE_FIRST);
}

/* Takes an escape of one letter. */
static char
take_letter (JscSpan *text)
{
  static const char letters[] = "bfnrt";
  static const char values[] = "\b\f\n\r\t";
  char letter = text->at[1];
  const char *found = letter != '\0' ? strchr (letters, letter) : NULL;

  text->at += 2;
  return found != NULL ? values[found - letters] : letter;
}

GString *
jst_decode (JscSpan value)
{
  if (value.end - value.at < 2 || value.at[0] != '"' || value.end[-1] != '"')
    return NULL;
  GString *out = g_string_new (NULL);
  JscSpan text = { .at = value.at + 1, .end = value.end - 1 };
  gunichar unit;
  while (text.at < text.end)
    if (take_unit (&text, &unit))
      g_string_append_unichar (out, join_pair (&text, unit));
    else if (*text.at == '\\' && text.end - text.at >= 2)
      g_string_append_c (out, take_letter (&text));
    else
      g_string_append_c (out, *text.at++);
  return out;
}
