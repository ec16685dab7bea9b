package org.geraniumstand.decisions;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Declares the name and the one-sentence summary of a decision.
 *
 * <p>Responses to callers, the timeline and {@code geraniumctl explain} print the summary as the reason for an action.
 */
@Documented
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface Decision {
    /** Returns the decision's name, in kebab case. */
    String name();

    /** Returns the decision's summary, one sentence in the present tense. */
    String summary();
}
