// Ports for the programs and stand-ins of one test process.
#pragma once

// A port of 127.0.0.1 that no other test process uses.
int FreePort ();
