/* State charts read from files and interpreted. */
#pragma once

#include "err.h"

#include <stdint.h>

#define CHART_STATES_MAX 16
#define CHART_EVENTS_MAX 24
#define CHART_NONE (-1)

/**
 * struct Chart - a checked state chart
 * @states: state names known to the code, in the order of its enumeration
 * @events: event names known to the code, in the order of its enumeration
 * @next: next state for each state and event, CHART_NONE when the event is impossible there
 */
typedef struct
{
  char name[32];
  const char *const *states;
  const char *const *events;
  uint32_t state_count;
  uint32_t event_count;
  int8_t initial;
  int8_t next[CHART_STATES_MAX][CHART_EVENTS_MAX];
  uint64_t impossible_events;
} Chart;

/**
 * chart_load() - reads and checks a chart
 * @states: NULL-terminated state names that the code knows
 * @events: NULL-terminated event names that the code knows
 *
 * Unknown states or events, unreachable states and events that are never used are errors.
 */
bool chart_load (Chart *chart, const char *path, const char *const *states,
                 const char *const *events, Err *err);

/** chart_load_named() - reads "<dir>/<name>.chart". */
bool chart_load_named (Chart *chart, const char *dir, const char *name, const char *const *states,
                       const char *const *events, Err *err);

/**
 * chart_step() - applies an event
 *
 * Return: true when the event is possible; @state is then the next state. An impossible event is
 * counted and leaves @state as it is.
 */
bool chart_step (Chart *chart, int32_t *state, int32_t event);
