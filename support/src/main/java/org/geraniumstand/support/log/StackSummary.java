package org.geraniumstand.support.log;

import java.util.Arrays;
import java.util.stream.Collectors;

/** Describes an exception in one line: its class, its message and the innermost stack frames. */
public final class StackSummary {
    private static final int MAX_FRAMES = 8;

    private StackSummary() {}

    /**
     * Returns the line.
     *
     * @param failure the exception to describe
     */
    public static String of(Throwable failure) {
        String frames = Arrays.stream(failure.getStackTrace())
                .limit(MAX_FRAMES)
                .map(frame ->
                        simpleName(frame.getClassName()) + "." + frame.getMethodName() + ":" + frame.getLineNumber())
                .collect(Collectors.joining(" < "));
        return failure + " at " + frames;
    }

    private static String simpleName(String className) {
        return className.substring(className.lastIndexOf('.') + 1);
    }
}
