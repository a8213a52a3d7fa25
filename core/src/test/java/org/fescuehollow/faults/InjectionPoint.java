package org.fescuehollow.faults;

/** The points in the work of a node or an engine at which a fault can be injected. */
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
