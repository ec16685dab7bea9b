package org.geraniumstand.standins;

/** Names the faults of a TCP relay. */
public enum TcpRelaySwitch {
    /** Number of new connections to close at once. */
    REFUSE,
    /** Delay of each forwarded chunk, in milliseconds. */
    DELAY_MILLIS,
    /** Number of new connections that forward requests but drop responses. */
    DEAF
}
