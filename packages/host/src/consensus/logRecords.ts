import { crc32 } from 'node:zlib';

/** Records of a log file: marker, length, checksum, payload. */

const recordMarker = 0xb1_7e_c0_de;
const headerBytes = 12;
const maxRecordBytes = 256 * 1024 * 1024;

/** Result of a scan of a log file. */
export interface ScannedRecords {
  readonly payloads: readonly Uint8Array[];
  /** Bytes up to the end of the last valid record. */
  readonly validBytes: number;
  /** intact: all bytes are valid; torn: an unfinished write at the end; damaged: anything else. */
  readonly end: 'intact' | 'torn' | 'damaged';
}

/** Encodes one record. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.alloc(headerBytes + payload.byteLength);
  record.writeUInt32BE(recordMarker, 0);
  record.writeUInt32BE(payload.byteLength, 4);
  record.writeUInt32BE(crc32(payload), 8);
  record.set(payload, headerBytes);
  return record;
}

/** Returns the payload of the record at an offset; undefined if no valid record starts there. */
function readPayloadAt(bytes: Buffer, offset: number): Buffer | undefined {
  if (bytes.byteLength - offset < headerBytes) return undefined;
  if (bytes.readUInt32BE(offset) !== recordMarker) return undefined;
  const length = bytes.readUInt32BE(offset + 4);
  const start = offset + headerBytes;
  if (length > maxRecordBytes || bytes.byteLength - start < length) return undefined;
  const payload = bytes.subarray(start, start + length);
  return crc32(payload) === bytes.readUInt32BE(offset + 8) ? payload : undefined;
}

function hasRecordAfter(bytes: Buffer, offset: number): boolean {
  const marker = Buffer.alloc(4);
  marker.writeUInt32BE(recordMarker, 0);
  for (let at = bytes.indexOf(marker, offset); at >= 0; at = bytes.indexOf(marker, at + 1)) {
    if (readPayloadAt(bytes, at) !== undefined) return true;
  }
  return false;
}

/** Whether the bytes from an offset look like an unfinished write: truncated or ending in zeros. */
function isUnfinishedWrite(bytes: Buffer, offset: number): boolean {
  const rest = bytes.subarray(offset);
  if (rest.every((byte) => byte === 0)) return true;
  if (rest.byteLength < headerBytes) return true;
  if (rest.readUInt32BE(0) !== recordMarker) return false;
  const end = headerBytes + rest.readUInt32BE(4);
  if (end > rest.byteLength) return true;
  return end === rest.byteLength && rest[end - 1] === 0;
}

/**
 * Reads the records of a log file. A batch is one record and the next is written after its sync, so
 * only the last record can be torn; a complete record with a wrong checksum was damaged later.
 *
 * @param bytes - content of the file after its header
 */
export function scanRecords(bytes: Buffer): ScannedRecords {
  const payloads: Uint8Array[] = [];
  let offset = 0;
  for (;;) {
    const payload = readPayloadAt(bytes, offset);
    if (payload === undefined) break;
    payloads.push(payload);
    offset += headerBytes + payload.byteLength;
  }
  if (offset === bytes.byteLength) return { payloads, validBytes: offset, end: 'intact' };
  const isTorn = isUnfinishedWrite(bytes, offset) && !hasRecordAfter(bytes, offset + 1);
  return { payloads, validBytes: offset, end: isTorn ? 'torn' : 'damaged' };
}
