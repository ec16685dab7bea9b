package org.geraniumstand.outside.engine;

/** States why a call to a model engine's control API failed. */
public enum EngineError {
    /** The engine did not respond in time or refused the connection; an order may have taken effect. */
    UNAVAILABLE,
    /** The order carried an outdated fencing token. */
    FENCED,
    /** The weight store accepts no further loads at present. */
    WEIGHTS_BUSY,
    /** The response could not be parsed. */
    MALFORMED
}
