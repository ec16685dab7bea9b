package org.geraniumstand.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Consumer;

/** Takes in the lines of an answer as they come. */
final class EventLines implements Flow.Subscriber<String> {
    private final List<String> lines = new ArrayList<>();
    private final CompletableFuture<Boolean> ended = new CompletableFuture<>();
    private final Consumer<String> onLine;

    EventLines(Consumer<String> onLine) {
        this.onLine = onLine;
    }

    CompletionStage<Boolean> ended() {
        return ended;
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
        ended.complete(false);
    }

    @Override
    public void onComplete() {
        ended.complete(true);
    }
}
