/* Error struct that callers pass down; each layer sets its own code and text. */
#pragma once

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef ErrLayer - the layer that reports an error
 */
typedef enum
{
  ERR_LAYER_NONE,
  ERR_LAYER_SETTINGS,
  ERR_LAYER_CONFIG,
  ERR_LAYER_CHART,
  ERR_LAYER_HTTP,
  ERR_LAYER_STORE,
  ERR_LAYER_RPC,
  ERR_LAYER_PLAN,
  ERR_LAYER_PROCESS,
} ErrLayer;

/**
 * struct Err - one error
 * @layer: the layer that reports it
 * @code: the layer's own code, 0 when there is no error
 * @text: a message for people
 */
typedef struct
{
  ErrLayer layer;
  int32_t code;
  char text[512];
} Err;

/** err_set() - records an error; the first error of a chain is replaced. */
void err_set (Err *err, ErrLayer layer, int32_t code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** err_wrap() - turns an error from a lower layer into one of @layer, keeping its text. */
void err_wrap (Err *err, ErrLayer layer, int32_t code, const char *context);

/** err_layer_name() - the layer's name for logs. */
const char *err_layer_name (ErrLayer layer);
