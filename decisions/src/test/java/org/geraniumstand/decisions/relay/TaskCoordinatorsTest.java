package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class TaskCoordinatorsTest {
    private static List<ProcessId> processes(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new ProcessId("host-" + i))
                .toList();
    }

    @Test
    void selectsTwoOfMany() {
        assertThat(TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, processes(300)), hasSize(2));
    }

    @Test
    void selectionIsIndependentOfOrder() {
        List<ProcessId> reversed = new ArrayList<>(processes(78));
        Collections.reverse(reversed);

        assertThat(
                TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, reversed),
                is(TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, processes(78))));
    }

    @Test
    void promotesSecondCoordinatorWhenFirstEnds() {
        List<ProcessId> remaining = new ArrayList<>(processes(78));
        List<ProcessId> before = TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, remaining);
        remaining.remove(before.get(0));

        assertThat(
                TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, remaining)
                        .get(0),
                is(before.get(1)));
    }

    @Test
    void selectsOtherProcessesForOtherTask() {
        List<ProcessId> all = processes(78);

        assertThat(
                TaskCoordinators.select(TaskCoordinators.Task.READ_STORE, all),
                is(not(TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, all))));
    }

    @Test
    void selectsNoneWithoutMembers() {
        assertThat(TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, List.of()), empty());
    }
}
