/* Short access to JSON trees of json-glib. */
#pragma once

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/** jsn_parse() - parses a text whose root is an object; NULL otherwise. */
JsonNode *jsn_parse (const char *text, size_t size);
JsonObject *jsn_object (JsonNode *node);
JsonNode *jsn_member (JsonObject *object, const char *name);
JsonArray *jsn_array (JsonObject *object, const char *name);
JsonObject *jsn_child (JsonObject *object, const char *name);
const char *jsn_text (JsonObject *object, const char *name, const char *fallback);
uint64_t jsn_uint (JsonObject *object, const char *name, uint64_t fallback);

/** jsn_number() - a member that is a number, or @fallback; @object may be NULL. */
double jsn_number (JsonObject *object, const char *name, double fallback);
bool jsn_bool (JsonObject *object, const char *name, bool fallback);

/** jsn_take() - turns an object into text and releases it. */
char *jsn_take (JsonObject *object, bool pretty);
