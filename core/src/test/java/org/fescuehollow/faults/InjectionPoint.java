package org.fescuehollow.faults;

/** Where it goes wrong. */
enum InjectionPoint {
    ACCEPT,
    SETTINGS_LOOKUP,
    ROUTE,
    FORWARD,
    LOAD,
    PIN,
    SEND,
    FIRST_TOKEN,
    MID_STREAM,
    END,
    RECORD,
    RELEASE,
    HAND_OVER,
    COORDINATOR_CHANGE
}
