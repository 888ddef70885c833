package dewwing.control.core

/**
 * How many machines, jobs and tasks the core has looked at. Time cannot be tested; this can: work has to grow with
 * what changed, not with jobs times machines.
 */
class WorkCounter {
    var looks = 0L
        private set

    fun look(count: Int) {
        looks += count
    }
}
