package org.geraniumstand.proofs.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Passes over the tests that KNOWN-RED.txt lists by class and method, and prints each of them. */
final class KnownRed implements ExecutionCondition {
    private static final Path LIST = Path.of("..", "KNOWN-RED.txt");

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        if ("run".equals(System.getProperty("knownRed"))
                || context.getTestMethod().isEmpty()) {
            return ConditionEvaluationResult.enabled("");
        }
        String name = context.getRequiredTestClass().getSimpleName() + "#"
                + context.getRequiredTestMethod().getName();
        if (!listed(name)) {
            return ConditionEvaluationResult.enabled("");
        }
        System.out.println("known-red test=" + name);
        return ConditionEvaluationResult.disabled("listed in KNOWN-RED.txt");
    }

    private static boolean listed(String name) {
        try {
            return Files.exists(LIST) && Files.readAllLines(LIST).contains(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
