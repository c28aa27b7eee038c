/* JSON: typed access to json-glib trees with default values. */
#include "jsn.h"

#include "jsc.h"
#include "lim.h"

/* json-glib parses nested values recursively, without a limit of its own. */
JsonNode *
jsn_parse (const char *text, size_t size)
{
  JsonNode *root = NULL;

  if (jsc_depth ((JscSpan){ .at = text, .end = text + size }) > JSON_DEPTH_MAX)
    return NULL;
  JsonParser *parser = json_parser_new_immutable ();
  if (json_parser_load_from_data (parser, text, (gssize) size, NULL))
    root = json_parser_get_root (parser);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    json_node_ref (root);
  else
    root = NULL;
  g_object_unref (parser);
  return root;
}

JsonObject *
jsn_object (JsonNode *node)
{
  return json_node_get_object (node);
}

JsonNode *
jsn_member (JsonObject *object, const char *name)
{
  return object != NULL ? json_object_get_member (object, name) : NULL;
}

JsonArray *
jsn_array (JsonObject *object, const char *name)
{
  JsonNode *node = jsn_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

JsonObject *
jsn_child (JsonObject *object, const char *name)
{
  JsonNode *node = jsn_member (object, name);

  return node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

const char *
jsn_text (JsonObject *object, const char *name, const char *fallback)
{
  JsonNode *node = jsn_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return fallback;
  return json_node_get_string (node);
}

uint64_t
jsn_uint (JsonObject *object, const char *name, uint64_t fallback)
{
  JsonNode *node = jsn_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_INT64 || json_node_get_int (node) < 0)
    return fallback;
  return (uint64_t) json_node_get_int (node);
}

double
jsn_number (JsonObject *object, const char *name, double fallback)
{
  JsonNode *node = jsn_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return fallback;
  GType type = json_node_get_value_type (node);
  return type == G_TYPE_INT64 || type == G_TYPE_DOUBLE ? json_node_get_double (node) : fallback;
}

bool
jsn_bool (JsonObject *object, const char *name, bool fallback)
{
  JsonNode *node = jsn_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return fallback;
  return json_node_get_boolean (node);
}

char *
jsn_free_to_text (JsonObject *object, bool pretty)
{
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  char *text;

  json_node_take_object (node, object);
  text = json_to_string (node, pretty);
  json_node_unref (node);
  return text;
}
