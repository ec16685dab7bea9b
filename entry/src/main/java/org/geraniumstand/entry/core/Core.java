package org.geraniumstand.entry.core;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.RequestMailbox;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.task.StepGuard;

/**
 * Runs all decisions on a single thread that owns their state and reads messages from a ring buffer.
 *
 * <p>Messages are processed in order of arrival. When the ring buffer is full, senders block, so that backpressure
 * slows down the I/O threads and memory use stays bounded.
 */
public final class Core implements CoreInbox, AutoCloseable {
    private static final Log LOG = Log.of(Core.class);
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int RING_SIZE = 16 * 1024;

    private final StepGuard guard = new StepGuard("core");
    private final TrafficController controller;
    private final Consumer<Action> effects;
    private final List<CoreListener> listeners;
    private final Map<RequestId, RequestMailbox> mailboxes = new HashMap<>();
    private final Disruptor<Message> disruptor;
    private final AtomicReference<Configuration> configuration = new AtomicReference<>();

    private Core(TrafficController controller, Consumer<Action> effects, List<CoreListener> listeners) {
        this.controller = controller;
        this.effects = effects;
        this.listeners = List.copyOf(listeners);
        this.disruptor =
                new Disruptor<>(Message::new, RING_SIZE, Core::thread, ProducerType.MULTI, new BlockingWaitStrategy());
        this.disruptor.handleEventsWith(
                (message, _sequence, _endOfBatch) -> guard.run("message", "", () -> handle(message)));
    }

    /**
     * Starts the core's thread.
     *
     * @param controller decides on the actions for each observation
     * @param effects executes actions that do not concern a single request; called on the core's thread, must not block
     * @param listeners receive requests, observations and actions
     */
    public static Core start(TrafficController controller, Consumer<Action> effects, List<CoreListener> listeners) {
        Core core = new Core(controller, effects, listeners);
        core.disruptor.start();
        return core;
    }

    @Override
    public void observe(Observation observation) {
        disruptor.publishEvent((message, _sequence) -> message.set(observation, null));
    }

    @Override
    public void submit(RequestInfo request, RequestMailbox mailbox) {
        Observation observation = new Observation.RequestArrived(request);
        disruptor.publishEvent((message, _sequence) -> message.set(observation, mailbox));
    }

    /**
     * Runs a query against the traffic controller on the core's thread.
     *
     * @param query query to run; must not block
     * @param <T> type of the result
     * @return the result, completed on the core's thread
     */
    public <T> CompletableFuture<T> query(Function<TrafficController, T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        Consumer<TrafficController> task = state -> {
            try {
                answer.complete(query.apply(state));
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        };
        disruptor.publishEvent((message, _sequence) -> message.setQuery(task));
        return answer;
    }

    /** Returns the number of messages waiting in the ring buffer. */
    public long depth() {
        return RING_SIZE - disruptor.getRingBuffer().remainingCapacity();
    }

    @Override
    public Optional<Configuration> configuration() {
        return Optional.ofNullable(configuration.get());
    }

    @Override
    public void close() {
        disruptor.halt();
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "core");
        thread.setDaemon(true);
        return thread;
    }

    private void handle(Message message) {
        if (message.query != null) {
            Consumer<TrafficController> query = message.query;
            message.setQuery(null);
            query.accept(controller);
            return;
        }
        Observation observation = message.observation;
        if (observation instanceof Observation.RequestArrived arrived) {
            mailboxes.put(arrived.request().id(), message.mailbox);
            String callerRequestId = message.mailbox.callerRequestId();
            tellListeners(listener -> listener.onRequestArrived(arrived.request(), callerRequestId));
        }
        message.set(null, null);
        Timestamp now = new Timestamp(System.nanoTime(), System.currentTimeMillis());
        tellListeners(listener -> listener.onObservation(observation));
        try {
            controller
                    .handle(observation, now)
                    .forEach(action -> guard.run("action", action.getClass().getSimpleName(), () -> execute(action)));
        } catch (RuntimeException e) {
            handleFailure(e, observation);
        }
        configuration.set(controller.configuration().orElse(null));
    }

    /**
     * Logs an exception of one decision, so that it does not stop the decisions about other requests; refuses the
     * request if it has just arrived.
     */
    private void handleFailure(Throwable failure, Observation observation) {
        LOG.warn("decision-failed", Field.of("observation", observation), Field.of("fault", failure));
        if (observation instanceof Observation.RequestArrived arrived) {
            RequestId request = arrived.request().id();
            postLastAction(
                    request, new Action.Refuse(request, Refusal.notRun(RefusalReason.NO_SERVER, RETRY_AFTER_MILLIS)));
        }
    }

    private void execute(Action action) {
        tellListeners(listener -> listener.onAction(action));
        if (action instanceof Action.Dispatch dispatch) {
            postToMailbox(dispatch.request(), action);
        } else if (action instanceof Action.CancelAttempt cancel) {
            postToMailbox(cancel.request(), action);
        } else if (action instanceof Action.Refuse refuse) {
            postLastAction(refuse.request(), action);
        } else if (action instanceof Action.RemoveRequest removal) {
            mailboxes.remove(removal.request());
        } else {
            effects.accept(action);
        }
    }

    private void tellListeners(Consumer<CoreListener> event) {
        for (CoreListener listener : listeners) {
            guard.run("listener", listener.getClass().getSimpleName(), () -> event.accept(listener));
        }
    }

    private void postLastAction(RequestId request, Action action) {
        RequestMailbox mailbox = mailboxes.remove(request);
        if (mailbox != null) {
            mailbox.post(action);
        }
    }

    private void postToMailbox(RequestId request, Action action) {
        RequestMailbox mailbox = mailboxes.get(request);
        if (mailbox != null) {
            mailbox.post(action);
        }
    }

    /** A slot of the ring buffer. */
    private static final class Message {
        private Observation observation;
        private RequestMailbox mailbox;
        private Consumer<TrafficController> query;

        private void set(Observation newObservation, RequestMailbox newMailbox) {
            observation = newObservation;
            mailbox = newMailbox;
        }

        private void setQuery(Consumer<TrafficController> newQuery) {
            query = newQuery;
        }
    }
}
