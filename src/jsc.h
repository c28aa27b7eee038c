/* JSON scanner: finds the parts of a text without parsing them, so that an invalid part leaves the
 * others readable. Nesting costs no stack. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest number of values in an index, and of objects and arrays that contain one of them. */
#define JSC_INDEX_VALUES 32
#define JSC_INDEX_DEPTH 5

/**
 * struct JscIndex - start and end of the large objects and arrays of a text, so that they are
 * skipped without another scan
 * @at, @end: what has not been indexed
 * @depth: number of objects and arrays that are open
 * @count: number of @values
 * @open: where the open ones start
 * @values: start and end of each large one
 */
typedef struct
{
  const char *at;
  const char *end;
  uint32_t depth;
  uint32_t count;
  const char *open[JSC_INDEX_DEPTH];
  struct
  {
    const char *at;
    const char *end;
  } values[JSC_INDEX_VALUES];
} JscIndex;

/** struct JscSpan - part of a text, from @at up to @end; @index: of the text, or NULL */
typedef struct
{
  const char *at;
  const char *end;
  const JscIndex *index;
} JscSpan;

/** jsc_index_start() - starts to index a text. */
void jsc_index_start (JscIndex *index, const char *text, size_t size);

/** jsc_index_step() - indexes about @bytes more; true when the whole text is indexed. */
bool jsc_index_step (JscIndex *index, size_t bytes);

/** jsc_take_value() - moves behind a value of any type; false if it is missing or has no end. */
bool jsc_take_value (JscSpan *text, JscSpan *value);

/** jsc_take_char() - moves behind the character; false if another one follows. */
bool jsc_take_char (JscSpan *text, char c);

/** jsc_open() - true if @text is an object or an array, also with invalid contents; @contents is
 * then what is to be iterated. */
bool jsc_open (JscSpan text, JscSpan *contents);

/** jsc_open_value() - as jsc_open(), without a scan for the end: @value is a span that
 * jsc_take_value(), jsc_next_element() or jsc_members() set. */
bool jsc_open_value (JscSpan value, JscSpan *contents);

/**
 * jsc_next_element() - next element of an array
 * @contents: from jsc_open(); moved behind the element
 *
 * Return: false at the end, or where the text is not an array's.
 */
bool jsc_next_element (JscSpan *contents, JscSpan *value);

/** jsc_is_blank() - true if nothing but white space is left. */
bool jsc_is_blank (JscSpan text);

/** struct JscMember - a member of an object; @value: empty when there is none of that name */
typedef struct
{
  const char *name;
  JscSpan value;
} JscMember;

/** jsc_members() - sets the values of an object's first members of these names, in one pass;
 * @contents: from jsc_open(). Names with escapes are not decoded. */
void jsc_members (JscSpan contents, JscMember *members, size_t count);

/** jsc_member() - value of an object's first member of that name; false without one. @contents:
 * from jsc_open(). Names with escapes are not decoded. */
bool jsc_member (JscSpan contents, const char *name, JscSpan *value);

/** jsc_uint() - a decimal integer, or @fallback. */
uint64_t jsc_uint (JscSpan text, uint64_t fallback);

/** jsc_is_true() - whether the text is the literal true. */
bool jsc_is_true (JscSpan text);

/** jsc_depth() - largest number of objects and arrays that contain each other. */
uint32_t jsc_depth (JscSpan text);
