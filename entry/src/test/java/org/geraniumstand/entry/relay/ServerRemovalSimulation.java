package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.decisions.relay.TaskCoordinators;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.peer.PeerMessage;

/** Simulates, in virtual time, entry processes that watch server entries in a store and forward changes to each other. */
final class ServerRemovalSimulation {
    private static final long MESSAGE_DELAY_MILLIS = 1;

    /** Milliseconds after which the other processes no longer count a killed process as live. */
    private static final long FAILURE_DETECTION_MILLIS = 4_000;

    private final VirtualTimer timer = new VirtualTimer();
    private final SimulatedStore store = new SimulatedStore(timer);
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final StoreBounds bounds;
    private long messageDelayMillis = MESSAGE_DELAY_MILLIS;

    /** An entry process with the set of servers to which it sends requests. */
    private final class SimulatedProcess implements StoreWatcher.Listener {
        private final int number;
        private final ProcessId id;
        private final Set<ServerId> servers = new HashSet<>();
        private final Set<DataCentreId> dataCentresOut = new HashSet<>();
        private final StoreWatcher watcher;
        private boolean alive = true;

        private SimulatedProcess(int number) {
            this.number = number;
            this.id = new ProcessId("process-" + number);
            this.watcher = new StoreWatcher(
                    store.clientFor(number),
                    new FakeEntryReader(),
                    (action, delay) -> timer.after(() -> ifAlive(action), delay),
                    timer::nanos,
                    bounds,
                    this,
                    "own/x",
                    _present -> {});
            watcher.setChangeForwarder(this::forward);
        }

        private void ifAlive(Runnable action) {
            if (alive) {
                store.run(number, action);
            }
        }

        private void forward(PeerMessage.StoreUpdate changes) {
            if (!alive) {
                return;
            }
            for (SimulatedProcess other : processes) {
                if (other != this) {
                    timer.after(() -> other.ifAlive(() -> other.watcher.onPeerChanges(changes)), messageDelayMillis);
                }
            }
        }

        @Override
        public void onEntry(StoreEntry entry) {
            if (entry instanceof StoreEntry.DataCentreOut out) {
                dataCentresOut.add(out.dataCentre());
                return;
            }
            RelayServer server = ((StoreEntry.ServerEntry) entry).server();
            if (server.draining()) {
                servers.remove(server.id());
            } else {
                servers.add(server.id());
            }
        }

        @Override
        public void onRemoved(StoreEntry.Removed removed, long _retainedMillis) {
            if (removed instanceof StoreEntry.Removed.Server server) {
                servers.remove(server.server());
            } else if (removed instanceof StoreEntry.Removed.DataCentreIn in) {
                dataCentresOut.remove(in.dataCentre());
            }
        }

        @Override
        public void onUpToDate() {}

        @Override
        public void onSnapshot(List<StoreEntry> snapshot) {
            servers.clear();
            dataCentresOut.clear();
            snapshot.forEach(this::onEntry);
        }
    }

    ServerRemovalSimulation(int processCount, int serverCount, StoreBounds bounds) {
        this.bounds = bounds;
        for (int i = 0; i < serverCount; i++) {
            store.addServer("server-" + i, 37L * i);
        }
        for (int i = 0; i < processCount; i++) {
            processes.add(new SimulatedProcess(i));
        }
        processes.forEach(process -> process.watcher.start());
        assignReaders();
    }

    /** Delays the messages between processes that are sent from now on, in milliseconds. */
    void setMessageDelay(long millis) {
        messageDelayMillis = millis;
    }

    /** Returns the names of the servers to which a process sends requests. */
    Set<String> serversInUse(int process) {
        return processes.get(process).servers.stream().map(ServerId::toString).collect(Collectors.toSet());
    }

    /** Returns the numbers of the live processes that count a data centre as evacuated. */
    Set<Integer> processesWithout(String dataCentre) {
        return processes.stream()
                .filter(process -> process.alive && process.dataCentresOut.contains(new DataCentreId(dataCentre)))
                .map(process -> process.number)
                .collect(Collectors.toSet());
    }

    SimulatedStore store() {
        return store;
    }

    /** Runs an action at a point in time, in milliseconds. */
    void at(long millis, Runnable action) {
        timer.at(millis, action);
    }

    /** Runs an action after a delay in milliseconds. */
    void after(long millis, Runnable action) {
        timer.after(action, millis);
    }

    /** Returns the virtual time in milliseconds. */
    long millis() {
        return timer.millis();
    }

    void runUntil(long millis) {
        timer.runUntil(millis);
    }

    /** Returns the numbers of the store readers. */
    List<Integer> readers() {
        Map<ProcessId, Integer> numbers = new HashMap<>();
        processes.stream().filter(p -> p.alive).forEach(process -> numbers.put(process.id, process.number));
        return TaskCoordinators.select(TaskCoordinators.Task.READ_STORE, numbers.keySet()).stream()
                .map(numbers::get)
                .toList();
    }

    /** Kills processes; the others detect it after a delay. */
    void kill(List<Integer> numbers) {
        numbers.forEach(number -> processes.get(number).alive = false);
        timer.after(this::assignReaders, FAILURE_DETECTION_MILLIS);
    }

    /** Starts a process with a new number, which the others detect at once, and returns the number. */
    int start() {
        SimulatedProcess started = new SimulatedProcess(processes.size());
        processes.add(started);
        started.watcher.start();
        assignReaders();
        return started.number;
    }

    /** Returns the numbers of the live processes. */
    List<Integer> liveProcesses() {
        return processes.stream()
                .filter(process -> process.alive)
                .map(process -> process.number)
                .toList();
    }

    private void assignReaders() {
        List<Integer> readers = readers();
        processes.stream()
                .filter(p -> p.alive)
                .forEach(p -> p.watcher.setReader(
                        readers.contains(p.number), liveProcesses().size() - 1));
    }

    /** Returns the numbers of the live processes that send requests to the given server. */
    Set<Integer> processesUsing(String server) {
        return processes.stream()
                .filter(process -> process.alive && process.servers.contains(new ServerId(server)))
                .map(process -> process.number)
                .collect(Collectors.toSet());
    }

    /** Returns the smallest number of servers to which any live process sends requests. */
    int minServersInUse() {
        return processes.stream()
                .filter(process -> process.alive)
                .mapToInt(process -> process.servers.size())
                .min()
                .orElse(0);
    }
}
