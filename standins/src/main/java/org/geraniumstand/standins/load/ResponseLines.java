package org.geraniumstand.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Consumer;

/** Collects the lines of a response and passes each on as it arrives. */
final class ResponseLines implements Flow.Subscriber<String> {
    private final List<String> lines = new ArrayList<>();
    private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
    private final Consumer<String> onLine;

    ResponseLines(Consumer<String> onLine) {
        this.onLine = onLine;
    }

    CompletionStage<Boolean> completion() {
        return completion;
    }

    synchronized String text() {
        return String.join("\n", lines);
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public synchronized void onNext(String line) {
        lines.add(line);
        onLine.accept(line);
    }

    @Override
    public void onError(Throwable _failure) {
        completion.complete(false);
    }

    @Override
    public void onComplete() {
        completion.complete(true);
    }
}
