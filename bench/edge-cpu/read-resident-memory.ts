/** Resident memory of a process, read from /proc. */
import {readFileSync} from 'node:fs';

const bytesPerKilobyte = 1024;

/** In bytes; `peak` is the largest so far. */
export function readResidentMemory(pid: number): {readonly now: number; readonly peak: number} {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const read = (name: string) => Number(new RegExp(`${name}:\\s+(\\d+) kB`, 'v').exec(status)?.[1] ?? 0) * bytesPerKilobyte;
	return {now: read('VmRSS'), peak: read('VmHWM')};
}
