package org.geraniumstand.standins;

/** Faults of a relay. */
public enum RelaySwitch {
    /** New connections are closed at once. */
    REFUSE,
    /** Milliseconds that each part takes longer. */
    DELAY_MILLIS,
    /** Counts new connections on which answers never come back, while requests arrive. */
    DEAF
}
