package dewwing.control.core

/**
 * Counts the machines, jobs and tasks that the core examines. Tests use it in place of run time, which they cannot
 * check reliably: the work must grow with the number of changes, not with jobs times machines.
 */
class WorkCounter {
    var itemsExamined = 0L
        private set

    fun count(items: Int) {
        itemsExamined += items
    }
}
