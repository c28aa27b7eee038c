/* JSON strings: decodes one of any bytes, also where a JSON parser would reject the text. Pure. */
#pragma once

#include "jsc.h"

#include <glib.h>

/**
 * jst_decode() - decodes a string
 * @value: as jsc_take_value() or jsc_members() set it
 *
 * The result may hold NUL bytes and bytes that aren't UTF-8. Half of a surrogate pair is encoded
 * like any other code point; of an unknown escape the backslash is left out.
 *
 * Return: a new string, or NULL if the value is none.
 */
GString *jst_decode (JscSpan value);
