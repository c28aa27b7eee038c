/* JSON: typed access to json-glib trees with default values. */
#pragma once

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/** jsn_parse() - parses a text; NULL when it is invalid, nested deeper than JSON_DEPTH_MAX, or its
 * root is not an object. */
JsonNode *jsn_parse (const char *text, size_t size);
JsonObject *jsn_object (JsonNode *node);

/** jsn_member() - a member of any type; NULL when @object is NULL or has no such member. */
JsonNode *jsn_member (JsonObject *object, const char *name);

/** jsn_array() - a member that is an array, or NULL; @object may be NULL. */
JsonArray *jsn_array (JsonObject *object, const char *name);

/** jsn_child() - a member that is an object, or NULL; @object may be NULL. */
JsonObject *jsn_child (JsonObject *object, const char *name);

/** jsn_text() - a member that is a string, or @fallback; @object may be NULL. */
const char *jsn_text (JsonObject *object, const char *name, const char *fallback);

/** jsn_uint() - a member that is an integer of at least 0, or @fallback; @object may be NULL. */
uint64_t jsn_uint (JsonObject *object, const char *name, uint64_t fallback);

/** jsn_number() - a member that is a number, or @fallback; @object may be NULL. */
double jsn_number (JsonObject *object, const char *name, double fallback);

/** jsn_bool() - a member that is a boolean, or @fallback; @object may be NULL. */
bool jsn_bool (JsonObject *object, const char *name, bool fallback);

/** jsn_free_to_text() - serializes an object and releases the caller's reference to it. */
char *jsn_free_to_text (JsonObject *object, bool pretty);
