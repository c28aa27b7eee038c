/* Answers of upstreams, streamed to callers as they come. */
#pragma once

#include "rqs.h"

/** ans_start() - passes on the head of an upstream's answer. */
void ans_start (Req *req, const HclHead *head);

/** ans_send() - sends what came, when the last piece has gone out. */
void ans_send (Req *req);

/** ans_send_or_free() - the same for the last piece, after which nothing may follow. */
void ans_send_or_free (Req *req);

/** ans_continues() - the answer goes on where that of another upstream was interrupted. */
bool ans_continues (const Req *req, const HclHead *head);

/** ans_is_complete() - all that the head promised has come. */
bool ans_is_complete (const Req *req);
