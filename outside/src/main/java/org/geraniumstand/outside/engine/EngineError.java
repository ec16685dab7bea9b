package org.geraniumstand.outside.engine;

/** Why a call of a model engine's control interface did not work. */
public enum EngineError {
    /** It did not answer in time or refused the connection; an order may have taken effect. */
    UNAVAILABLE,
    /** The order carried an old fencing number. */
    FENCED,
    /** The weight store admits no more loads now. */
    WEIGHTS_BUSY,
    /** The answer could not be understood. */
    MALFORMED
}
