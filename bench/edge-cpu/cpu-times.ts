/** Processor time and memory of a process, read from /proc. */
import {readdirSync, readFileSync} from 'node:fs';

const millisecondsPerTick = 10;
/** Positions in /proc/PID/task/TID/stat, counted after the closing parenthesis of the name. */
const [userTimeField, systemTimeField] = [11, 12];

/** In milliseconds; `main` is the thread that runs JavaScript, `others` are those of V8 and libuv. */
type CpuTimes = {readonly mainUser: number; readonly mainSystem: number; readonly others: number};

/** Reads the times of the threads that exist now; Node.js ends none of its threads before it exits. */
export function readCpuTimes(pid: number): CpuTimes {
	let times = {mainUser: 0, mainSystem: 0, others: 0};
	for (const thread of readdirSync(`/proc/${pid}/task`)) {
		const stat = readFileSync(`/proc/${pid}/task/${thread}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const user = Number(fields[userTimeField]) * millisecondsPerTick;
		const system = Number(fields[systemTimeField]) * millisecondsPerTick;
		times = thread === String(pid)
			? {...times, mainUser: user, mainSystem: system}
			: {...times, others: times.others + user + system};
	}

	return times;
}
